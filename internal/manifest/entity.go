package manifest

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"path"
	"regexp"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// Upper limits of single fields. They catch mistakes such as a rate given in
// tokens per day, and keep sums of 64-bit token counts from overflowing.
const (
	maxRate        = 1_000_000_000
	maxBurst       = 100_000_000_000
	maxWeight      = 10_000
	maxSlots       = 4096
	maxBatch       = 65_536
	maxConcurrent  = 1_000_000
	maxTimeoutMs   = 3_600_000
	maxVersions    = 256
	maxTeamsInList = 1024
	maxWeightsLen  = 1024
	maxPathLen     = 256
)

var (
	// Names become metric labels, log fields and path elements. A ':' in a name
	// would make ADAPTER:VERSION ambiguous.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	// The name of a base model may also contain an organisation, as in "org/model".
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}(/[A-Za-z0-9][A-Za-z0-9._-]{0,127})?$`)
	routePattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
)

const nameRemedy = "use 1 to 128 letters, digits, '.', '_' and '-', starting with a letter or digit"

func indexed(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }

func checkName(p *Problems, field, name string) {
	if !namePattern.MatchString(name) {
		p.add(field, nameRemedy, "%q is not a valid name", name)
	}
}

func checkMax(p *Problems, field string, value, limit uint64) {
	if value > limit {
		p.add(field, fmt.Sprintf("use at most %d", limit), "%d is too large", value)
	}
}

// checkEntity checks those rules for one entity that involve no other entity.
func checkEntity(p *Problems, fieldPath string, m proto.Message) {
	switch e := m.(type) {
	case *apiv1.BaseModel:
		if !modelPattern.MatchString(e.GetName()) {
			p.add(fieldPath+".name", nameRemedy+", optionally with one '/' between two such parts", "%q is not a valid name", e.GetName())
		}
	case *apiv1.Adapter:
		checkAdapter(p, fieldPath, e)
	case *apiv1.Team:
		checkTeam(p, fieldPath, e)
	case *apiv1.Key:
		checkKey(p, fieldPath, e)
	case *apiv1.Route:
		checkRoute(p, fieldPath, e)
	case *apiv1.BackendServer:
		checkBackend(p, fieldPath, e)
	}
}

func checkAdapter(p *Problems, fieldPath string, a *apiv1.Adapter) {
	checkName(p, fieldPath+".name", a.GetName())
	if a.GetBaseModel() == "" {
		p.add(fieldPath+".base_model", "name the base model that the adapter extends", "the base model is missing")
	}
	if len(a.GetVersions()) == 0 || len(a.GetVersions()) > maxVersions {
		p.add(fieldPath+".versions", fmt.Sprintf("list 1 to %d versions", maxVersions), "there are %d versions", len(a.GetVersions()))
	}
	seen := map[string]bool{}
	for i, v := range a.GetVersions() {
		field := fieldPath + "." + indexed("versions", i)
		checkName(p, field+".version", v.GetVersion())
		if seen[v.GetVersion()] {
			p.add(field+".version", "give each version its own name", "version %q is listed twice", v.GetVersion())
		}
		seen[v.GetVersion()] = true
		checkWeights(p, field+".weights", v.GetWeights())
	}
	if !seen[a.GetDefaultVersion()] {
		p.add(fieldPath+".default_version", "name one of the adapter's versions", "version %q does not exist", a.GetDefaultVersion())
	}
	checkTeamList(p, fieldPath, a.GetTeams())
}

func checkTeamList(p *Problems, fieldPath string, teams []string) {
	checkMax(p, fieldPath+".teams", uint64(len(teams)), maxTeamsInList)
	seen := map[string]bool{}
	for i, team := range teams {
		field := fieldPath + "." + indexed("teams", i)
		if team == "" {
			p.add(field, "name a team or remove the entry", "the team is empty")
		}
		if seen[team] {
			p.add(field, "list each team once", "team %q is listed twice", team)
		}
		seen[team] = true
	}
}

// checkWeights accepts a path that does not lead out of the weight store.
func checkWeights(p *Problems, field, weights string) {
	const remedy = "give the path of the weights in the weight store"
	valid := weights != "" && len(weights) <= maxWeightsLen && !strings.ContainsFunc(weights, func(r rune) bool {
		return r <= ' ' || r == 0x7f
	})
	for part := range strings.SplitSeq(weights, "/") {
		valid = valid && part != ".."
	}
	if !valid {
		p.add(field, remedy, "%q is not a path in the weight store", weights)
	}
}

func checkTeam(p *Problems, fieldPath string, t *apiv1.Team) {
	checkName(p, fieldPath+".name", t.GetName())
	rate := t.GetRate()
	if rate.GetTokensPerSecond() == 0 {
		p.add(fieldPath+".rate.tokens_per_second", "set the tokens per second that the team may use", "the rate is 0")
	}
	if rate.GetBurstTokens() == 0 {
		p.add(fieldPath+".rate.burst_tokens", "set the tokens that the team may use at once", "the burst is 0")
	}
	checkMax(p, fieldPath+".rate.tokens_per_second", rate.GetTokensPerSecond(), maxRate)
	checkMax(p, fieldPath+".rate.burst_tokens", rate.GetBurstTokens(), maxBurst)
	checkMax(p, fieldPath+".weight", uint64(t.GetWeight()), maxWeight)
	checkMax(p, fieldPath+".max_slots", uint64(t.GetMaxSlots()), maxSlots*maxBatch)
	checkMax(p, fieldPath+".max_concurrent", uint64(t.GetMaxConcurrent()), maxConcurrent)
}

// parseKeyHash decodes a hash written as lower-case hex digits.
func parseKeyHash(text string) (config.KeyHash, bool) {
	var h config.KeyHash
	if len(text) != hex.EncodedLen(len(h)) || strings.ToLower(text) != text {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, err == nil
}

func checkKey(p *Problems, fieldPath string, k *apiv1.Key) {
	checkName(p, fieldPath+".id", k.GetId())
	if k.GetTeam() == "" {
		p.add(fieldPath+".team", "name the team that the key admits", "the team is missing")
	}
	if _, ok := parseKeyHash(k.GetSha256()); !ok {
		// The message does not contain the value, which could be the key itself.
		p.add(fieldPath+".sha256", "give 64 lower-case hex digits, as jasminectl key issue makes it", "it is not the SHA-256 of a key")
	}
}

func checkRoute(p *Problems, fieldPath string, r *apiv1.Route) {
	checkName(p, fieldPath+".name", r.GetName())
	checkName(p, fieldPath+".pool", r.GetPool())
	checkRoutePath(p, fieldPath+".path", r.GetPath())
	switch r.GetKind() {
	case apiv1.RouteKind_ROUTE_KIND_MODEL, apiv1.RouteKind_ROUTE_KIND_SERVICE:
	default:
		p.add(fieldPath+".kind", "use ROUTE_KIND_MODEL or ROUTE_KIND_SERVICE", "the kind is missing or unknown")
	}
	switch r.GetClass() {
	case apiv1.RouteClass_ROUTE_CLASS_INTERACTIVE, apiv1.RouteClass_ROUTE_CLASS_BATCH:
	default:
		p.add(fieldPath+".class", "use ROUTE_CLASS_INTERACTIVE or ROUTE_CLASS_BATCH", "the class is missing or unknown")
	}
	if r.GetNonRepeatable() && r.GetKind() != apiv1.RouteKind_ROUTE_KIND_SERVICE {
		p.add(fieldPath+".non_repeatable", "use it on a route of kind ROUTE_KIND_SERVICE", "only service routes can be non-repeatable")
	}
	if r.GetNonRepeatable() && r.GetOpen() {
		// Call records are limited per team, and callers without a key have no team.
		p.add(fieldPath+".non_repeatable", "remove open or non_repeatable", "an open route cannot be non-repeatable")
	}
	checkMax(p, fieldPath+".timeout_ms", uint64(r.GetTimeoutMs()), maxTimeoutMs)
}

func checkRoutePath(p *Problems, field, value string) {
	switch {
	case len(value) > maxPathLen || !routePattern.MatchString(value) || path.Clean(value) != value:
		p.add(field, "start with '/', end without '/', and use letters, digits and '.', '_', '~', '-' between slashes",
			"%q is not a valid path prefix", value)
	case value == "/healthz" || value == "/debug" || strings.HasPrefix(value, "/debug/"):
		p.add(field, "choose another path", "%q is reserved for the entry host", value)
	}
}

func checkBackend(p *Problems, fieldPath string, b *apiv1.BackendServer) {
	checkName(p, fieldPath+".name", b.GetName())
	checkName(p, fieldPath+".failure_domain", b.GetFailureDomain())
	checkName(p, fieldPath+".pool", b.GetPool())
	if !validAddress(b.GetAddress()) {
		p.add(fieldPath+".address", "use http:// or https:// with an IP address and a port, such as http://10.0.0.7:8000",
			"%q is not an address of a backend server", b.GetAddress())
	}
	switch b.GetKind() {
	case apiv1.BackendKind_BACKEND_KIND_ENGINE:
		checkEngine(p, fieldPath, b)
	case apiv1.BackendKind_BACKEND_KIND_SERVICE:
		if b.GetBaseModel() != "" || b.GetSlots() != 0 || b.GetMaxBatch() != 0 {
			p.add(fieldPath+".kind", "remove base_model, slots and max_batch", "a plain service has no base model, slots or batch")
		}
	default:
		p.add(fieldPath+".kind", "use BACKEND_KIND_ENGINE or BACKEND_KIND_SERVICE", "the kind is missing or unknown")
	}
}

func checkEngine(p *Problems, fieldPath string, b *apiv1.BackendServer) {
	if b.GetBaseModel() == "" {
		p.add(fieldPath+".base_model", "name the base model that the engine runs", "the base model is missing")
	}
	if b.GetSlots() == 0 {
		p.add(fieldPath+".slots", "set the number of adapters that the engine holds at once", "the engine has no adapter slots")
	}
	if b.GetMaxBatch() == 0 {
		p.add(fieldPath+".max_batch", "set the number of requests that the engine runs at once", "the engine has no batch slots")
	}
	checkMax(p, fieldPath+".slots", uint64(b.GetSlots()), maxSlots)
	checkMax(p, fieldPath+".max_batch", uint64(b.GetMaxBatch()), maxBatch)
}

// validAddress reports whether the text is a scheme, an IP address and a port in
// their canonical form. Two spellings of one address would hide a duplicate.
func validAddress(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return false
	}
	return text == u.Scheme+"://"+addr.String()
}
