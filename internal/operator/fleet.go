package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/decisionlog"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

const (
	// statusInterval is the time between two queries of the hosts' revisions.
	statusInterval = 100 * time.Millisecond
	// explainTimeout limits the request to one host.
	explainTimeout = 2 * time.Second
	// maxExplainBytes limits the size of a host's response.
	maxExplainBytes = 1 << 20
)

func (c *command) statusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "jasminectl status",
		ShortHelp:  "Show hosts, engines, teams, quarantine and drains.",
		Exec: func(ctx context.Context, _ []string) error {
			resp, err := c.status(ctx)
			if err != nil {
				return err
			}
			return c.print(resp, statusText(resp))
		},
	}
}

func (c *command) waitCommand() *ffcli.Command {
	fs := flag.NewFlagSet("wait", flag.ContinueOnError)
	timeout := fs.Duration("timeout", 10*time.Second, "bound on the wait")
	number := fs.Uint64("number", 0, "number of the change")
	return &ffcli.Command{
		Name:       "wait",
		ShortUsage: "jasminectl wait -number N",
		ShortHelp:  "Wait until a change is in force on every live host.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return c.waitInForce(ctx, *number, *timeout)
		},
	}
}

// waitInForce waits until every live host has confirmed the change. After the
// timeout it returns an error that names the hosts that have not.
func (c *command) waitInForce(ctx context.Context, number uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last *apiv1.StatusResponse
	for {
		resp, err := c.status(ctx)
		if err == nil {
			last = resp
			live, behind := lagging(resp, number)
			// A new leader knows no hosts until their first reports arrive.
			if live > 0 && len(behind) == 0 && resp.GetRevision() >= number {
				fmt.Fprintf(c.Out, "in force: change %d on %d live hosts%s\n", number, live, silentNote(resp))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return notInForceError(number, last, err)
		case <-time.After(statusInterval):
		}
	}
}

// lagging returns the number of live hosts and the names of those that have not
// confirmed the change.
func lagging(resp *apiv1.StatusResponse, number uint64) (live int, behind []string) {
	for _, h := range resp.GetHosts() {
		if !h.GetLive() {
			continue
		}
		live++
		if h.GetConfigRevision() < number {
			behind = append(behind, h.GetHost())
		}
	}
	return live, behind
}

// silentNote names the hosts that are not live and so cannot confirm a change.
// They refuse keyed routes once their view is 4 s old.
func silentNote(resp *apiv1.StatusResponse) string {
	var silent []string
	for _, h := range resp.GetHosts() {
		if !h.GetLive() {
			silent = append(silent, h.GetHost())
		}
	}
	if len(silent) == 0 {
		return ""
	}
	return "; not confirmed by " + strings.Join(silent, ", ") + ", which refuse keyed routes once their view is 4 s old"
}

// notInForceError says what is missing for the change to be in force. last is the
// last status received, nil when there was none.
func notInForceError(number uint64, last *apiv1.StatusResponse, cause error) error {
	what, remedy := "no control host answered", "check that a majority of the control hosts runs, and wait again"
	if last != nil {
		live, behind := lagging(last, number)
		switch {
		case last.GetRevision() < number:
			what = fmt.Sprintf("the last accepted change is %d", last.GetRevision())
			remedy = "check the number with history"
		case live == 0:
			what = "the leader has not heard from any host yet" + silentNote(last)
			remedy = "check that entry hosts run, and wait again"
		default:
			what = "not confirmed by " + strings.Join(behind, ", ") + silentNote(last)
			remedy = "look at status, and wait again"
		}
	}
	return fault.Wrap(cause, fault.KindDeadline, fmt.Sprintf("change %d is not known to be in force: %s", number, what), remedy)
}

func (c *command) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "jasminectl explain REQUEST-ID",
		ShortHelp:  "Show the decisions on one request.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("give the request identifier from the header X-Request-Id")
			}
			resp, err := c.status(ctx)
			if err != nil {
				return err
			}
			return c.explain(ctx, resp.GetHosts(), args[0])
		},
	}
}

// explain queries every live host, since a request identifier does not tell which
// host received the request.
func (c *command) explain(ctx context.Context, hosts []*apiv1.HostStatus, id string) error {
	found := 0
	var unreachable []string
	for _, h := range hosts {
		if !h.GetLive() {
			unreachable = append(unreachable, h.GetHost())
			continue
		}
		decisions, err := c.fetchDecisions(ctx, h.GetAddress(), id)
		if err != nil {
			unreachable = append(unreachable, h.GetHost())
			continue
		}
		for _, d := range decisions {
			found++
			c.printDecision(h.GetHost(), d)
		}
	}
	if found > 0 {
		return nil
	}
	message := fmt.Sprintf("no host remembers request %q", id)
	if len(unreachable) > 0 {
		message += ", and these hosts did not answer: " + strings.Join(unreachable, ", ")
	}
	return fault.New(fault.KindInvalidRequest, message, "hosts keep their last decisions only; look into the hosts' logs")
}

func (c *command) fetchDecisions(ctx context.Context, address, id string) ([]decisionlog.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/debug/explain?request="+url.QueryEscape(id), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.peer.HTTPClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Newf(fault.KindUnavailable, "check that the secret or the certificates are the fleet's", "the host responded with status %d", resp.StatusCode)
	}
	var out []decisionlog.Decision
	err = json.NewDecoder(io.LimitReader(resp.Body, maxExplainBytes)).Decode(&out)
	return out, err
}

func (c *command) printDecision(host string, d decisionlog.Decision) {
	if c.json {
		line, err := json.Marshal(d)
		if err == nil {
			fmt.Fprintf(c.Out, "%s\n", line)
		}
		return
	}
	fmt.Fprintf(c.Out, "%s host=%s step=%s team=%s route=%s adapter=%s backend_server=%s considered=%d reason=%q\n",
		d.At.UTC().Format(time.RFC3339Nano), host, d.Step, d.Team, d.Route, d.Adapter, d.BackendServer, d.Considered, d.Reason)
}

func (c *command) hostCommand() *ffcli.Command {
	return groupCommand("host", "Drain entry hosts.",
		c.drainCommand("drain", "Let a host finish its requests and take no new ones.", false),
		c.drainCommand("undrain", "Take back a drain that the host has not begun.", true))
}

func (c *command) drainCommand(name, help string, cancel bool) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "jasminectl host " + name + " HOST",
		ShortHelp:  help,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("name one host")
			}
			_, err := call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.DrainHostResponse, error) {
				return o.DrainHost(ctx, &apiv1.DrainHostRequest{Cluster: c.connection.Cluster, Host: args[0], Cancel: cancel})
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Out, "%s asked of %s\n", name, args[0])
			return nil
		},
	}
}

func (c *command) membersCommand() *ffcli.Command {
	list := &ffcli.Command{
		Name:       "list",
		ShortUsage: "jasminectl members list",
		ShortHelp:  "List the control hosts.",
		Exec: func(ctx context.Context, _ []string) error {
			resp, err := c.status(ctx)
			if err != nil {
				return err
			}
			return c.print(resp, membersText(resp.GetMembers()))
		},
	}
	add := &ffcli.Command{
		Name:       "add",
		ShortUsage: "jasminectl members add HOST=URL@FAILURE-DOMAIN[/DISK=DISK-ID]",
		ShortHelp:  "Add a control host; it votes once it has caught up.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("give one member")
			}
			m, err := parseNewMember(args[0])
			if err != nil {
				return err
			}
			return c.changeMember(ctx, &apiv1.ChangeMemberRequest{Change: &apiv1.ChangeMemberRequest_Add{Add: m}})
		},
	}
	remove := &ffcli.Command{
		Name:       "remove",
		ShortUsage: "jasminectl members remove DISK-ID",
		ShortHelp:  "Remove a control host by its disk identity.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("give one disk identity")
			}
			return c.changeMember(ctx, &apiv1.ChangeMemberRequest{
				Change: &apiv1.ChangeMemberRequest_RemoveDiskId{RemoveDiskId: args[0]},
			})
		},
	}
	return groupCommand("members", "List and change the control hosts.", list, add, remove)
}

// parseNewMember parses HOST=URL@FAILURE-DOMAIN, optionally followed by
// /DISK=DISK-ID, which requires the host to have that disk identity.
func parseNewMember(text string) (*apiv1.Member, error) {
	spec, disk, _ := strings.Cut(text, "/DISK=")
	members, err := settings.ParseMembers("member", spec)
	if err != nil {
		return nil, err
	}
	if len(members) != 1 {
		return nil, usageError("give one member")
	}
	members[0].DiskId = disk
	members[0].Voter = false
	return members[0], nil
}

func (c *command) changeMember(ctx context.Context, req *apiv1.ChangeMemberRequest) error {
	req.Cluster = c.connection.Cluster
	resp, err := call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.ChangeMemberResponse, error) {
		return o.ChangeMember(ctx, req)
	})
	if err != nil {
		return err
	}
	text := ""
	for _, m := range resp.GetMembers() {
		text += fmt.Sprintf("member %s disk=%s voter=%t\n", m.GetHost(), m.GetDiskId(), m.GetVoter())
	}
	return c.print(resp, strings.TrimSuffix(text, "\n"))
}
