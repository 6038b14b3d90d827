package operator

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// print writes the message as JSON if -json is set, and the text otherwise.
func (c *command) print(m proto.Message, text string) error {
	if !c.json {
		fmt.Fprintln(c.Out, text)
		return nil
	}
	out, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "%s\n", out)
	return nil
}

func statusText(r *apiv1.StatusResponse) string {
	var b strings.Builder
	fmt.Fprintf(&b, "cluster %s revision %d leader %s term %d commit %d call_records %d\n",
		r.GetCluster(), r.GetRevision(), r.GetLeader(), r.GetTerm(), r.GetCommitIndex(), r.GetCallRecords())
	if len(r.GetMembers()) > 0 {
		b.WriteString(membersText(r.GetMembers()) + "\n")
	}
	for _, h := range r.GetHosts() {
		fmt.Fprintf(&b, "host %s domain=%s live=%t leaving=%t revision=%d heard=%dms\n",
			h.GetHost(), h.GetFailureDomain(), h.GetLive(), h.GetLeaving(), h.GetConfigRevision(), h.GetLastHeardMs())
		for _, w := range h.GetWaitingFor() {
			fmt.Fprintf(&b, "  waits for %s\n", w)
		}
	}
	for _, e := range r.GetEngines() {
		fmt.Fprintf(&b, "engine %s healthy=%t leaving=%t running=%d queued=%d slots=%s\n",
			e.GetName(), e.GetHealthy(), e.GetLeaving(), e.GetRunning(), e.GetQueued(), slotsText(e.GetSlots()))
	}
	for _, t := range r.GetTeams() {
		fmt.Fprintf(&b, "team %s rate=%d/s burst=%d level=%d lent=%d spent=%d\n",
			t.GetTeam(), t.GetTokensPerSecond(), t.GetBurstTokens(), t.GetLevel(), t.GetOutstanding(), t.GetSpent())
	}
	for _, q := range r.GetQuarantined() {
		fmt.Fprintf(&b, "quarantined %x crashes=%d for=%ds\n", q.GetFingerprint(), q.GetCrashes(), q.GetRemainingMs()/1000)
	}
	if len(r.GetEvacuations()) > 0 {
		b.WriteString(evacuationsText(r.GetEvacuations()) + "\n")
	}
	for _, w := range r.GetWaitingFor() {
		fmt.Fprintf(&b, "waiting: %s\n", w)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func slotsText(slots []*apiv1.Slot) string {
	var parts []string
	for _, s := range slots {
		state := strings.ToLower(strings.TrimPrefix(s.GetState().String(), "SLOT_STATE_"))
		parts = append(parts, s.GetRef().GetAdapter()+":"+s.GetRef().GetVersion()+"="+state)
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func membersText(members []*apiv1.MemberStatus) string {
	var lines []string
	for _, m := range members {
		lines = append(lines, fmt.Sprintf("member %s domain=%s voter=%t leader=%t match=%d heard=%dms disk=%s",
			m.GetHost(), m.GetFailureDomain(), m.GetVoter(), m.GetLeader(), m.GetMatchIndex(), m.GetLastHeardMs(), m.GetDiskId()))
	}
	return strings.Join(lines, "\n")
}
