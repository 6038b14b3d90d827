package manifest

import (
	"crypto/rand"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const examplePath = "../../examples/manifest.yaml"

func example(t testing.TB) *apiv1.Manifest {
	t.Helper()
	m, err := Load(examplePath)
	must.NoError(t, err)
	return m
}

// fieldsOf returns the sorted field paths of all problems.
func fieldsOf(t testing.TB, err error) []string {
	t.Helper()
	var fields []string
	if problems, ok := err.(Problems); ok {
		for _, p := range problems {
			must.Eq(t, fault.KindInvalidManifest, p.Kind)
			must.NotEq(t, "", p.Remedy)
			fields = append(fields, p.Field)
		}
	} else if err != nil {
		e, ok := fault.As(err)
		must.True(t, ok, must.Sprint(err))
		fields = append(fields, e.Field)
	}
	slices.Sort(fields)
	return fields
}

// YAML and JSON forms of one manifest, and two orders of its entities, must have
// the same digest; otherwise a resent change would be a conflict.
func TestFormatsGiveOneDigest(t *testing.T) {
	m := example(t)
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	must.NoError(t, err)
	fromJSON, err := Read(encoded)
	must.NoError(t, err)
	must.True(t, proto.Equal(m, fromJSON))
	want := DigestChange(&apiv1.ChangeCommand{Number: 1, Manifest: m})
	slices.Reverse(fromJSON.Adapters)
	slices.Reverse(fromJSON.BackendServers)
	must.Eq(t, want, DigestChange(&apiv1.ChangeCommand{Number: 2, Author: "x", Manifest: fromJSON}))
	fromJSON.Teams[0].Weight = 9
	must.NotEq(t, want, DigestChange(&apiv1.ChangeCommand{Number: 1, Manifest: fromJSON}))
}

// A mistake in the file must be rejected with the path of its field, not ignored.
func TestReadRefuses(t *testing.T) {
	for text, want := range map[string]string{
		"cluster: c\nroots: []":                           "roots",
		"teams: [{name: t, rate: {tokens_per_sec: 1}}]":   "teams[0].rate.tokens_per_sec",
		"adapters: [{name: a, versions: [{version: 2}]}]": "adapters[0].versions[0].version",
		"teams: [{name: t, weight: -1}]":                  "teams[0].weight",
		"teams: [{name: t, weight: 4294967296}]":          "teams[0].weight",
		"routes: [{kind: model}]":                         "routes[0].kind",
		"routes: {name: x}":                               "routes",
		"routes: [x]":                                     "routes[0]",
		"routes: [{open: 'yes'}]":                         "routes[0].open",
		"keys:":                                           "keys",
		"- a":                                             "manifest",
		"":                                                "manifest",
		"a: b\n---\nc: d":                                 "manifest",
		"cluster: c\ncluster: d":                          "manifest",
		`{"cluster":"c","cluster":"d"}`:                   "manifest",
		`{"cluster":"c"} x`:                               "manifest",
		"x: &a [1]\ny: *a":                                "manifest",
		"cluster: !!str 1":                                "manifest",
		`{"x":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + "}": "manifest",
		"x: " + strings.Repeat("[", 100) + strings.Repeat("]", 100):         "manifest",
		"cluster: " + strings.Repeat("x", MaxFileBytes):                     "manifest",
		"cluster:\n" + strings.Repeat("- ", 2000) + "x":                     "manifest",
	} {
		_, err := Read([]byte(text))
		must.Eq(t, []string{want}, fieldsOf(t, err), must.Sprintf("%.60s", text))
	}
	_, err := Load("does-not-exist")
	must.True(t, fault.Is(err, fault.KindInvalidManifest))
}

// Each rule must report its field; a manifest with any of these faults would put
// a configuration in force that hosts cannot serve.
func TestCheckReports(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*apiv1.Manifest)
		want   []string
	}{
		"valid":             {func(*apiv1.Manifest) {}, nil},
		"cluster":           {func(m *apiv1.Manifest) { m.Cluster = "a b" }, []string{"cluster"}},
		"duplicate":         {func(m *apiv1.Manifest) { m.Teams = append(m.Teams, m.Teams[0]) }, []string{"teams[2].name"}},
		"duplicate key":     {func(m *apiv1.Manifest) { m.Keys[1].Id = m.Keys[0].Id }, []string{"keys[1].id"}},
		"duplicate hash":    {func(m *apiv1.Manifest) { m.Keys[1].Sha256 = m.Keys[0].Sha256 }, []string{"keys[0].sha256", "keys[1].sha256"}},
		"hash case":         {func(m *apiv1.Manifest) { m.Keys[0].Sha256 = strings.ToUpper(m.Keys[0].Sha256) }, []string{"keys[0].sha256"}},
		"hash is a key":     {func(m *apiv1.Manifest) { m.Keys[0].Sha256 = "jsk_blue_secret" }, []string{"keys[0].sha256"}},
		"key team":          {func(m *apiv1.Manifest) { m.Keys[0].Team = "green" }, []string{"keys[0].team"}},
		"colon":             {func(m *apiv1.Manifest) { m.Adapters[0].Name = "a:1" }, []string{"adapters[0].name"}},
		"model name":        {func(m *apiv1.Manifest) { m.Adapters[0].Name = "base-7b" }, []string{"adapters[0].name", "base_models[0].name"}},
		"base model":        {func(m *apiv1.Manifest) { m.Adapters[0].BaseModel = "x" }, []string{"adapters[0].base_model"}},
		"default":           {func(m *apiv1.Manifest) { m.Adapters[0].DefaultVersion = "3" }, []string{"adapters[0].default_version"}},
		"version twice":     {func(m *apiv1.Manifest) { m.Adapters[0].Versions[0].Version = "2" }, []string{"adapters[0].versions[1].version"}},
		"weights":           {func(m *apiv1.Manifest) { m.Adapters[0].Versions[0].Weights = "../x" }, []string{"adapters[0].versions[0].weights"}},
		"adapter team":      {func(m *apiv1.Manifest) { m.Adapters[1].Teams = []string{"red", "x"} }, []string{"adapters[1].teams[1]"}},
		"rate":              {func(m *apiv1.Manifest) { m.Teams[0].Rate.TokensPerSecond = 0 }, []string{"teams[0].rate.tokens_per_second"}},
		"no rate":           {func(m *apiv1.Manifest) { m.Teams[0].Rate = nil }, []string{"teams[0].rate.burst_tokens", "teams[0].rate.tokens_per_second"}},
		"burst":             {func(m *apiv1.Manifest) { m.Teams[0].Rate.BurstTokens = 1 << 60 }, []string{"teams[0].rate.burst_tokens"}},
		"pool kind":         {func(m *apiv1.Manifest) { m.Routes[0].Pool = "services" }, []string{"routes[0].pool"}},
		"pool empty":        {func(m *apiv1.Manifest) { m.Routes[3].Pool = "none" }, []string{"routes[3].pool"}},
		"pool mixed":        {func(m *apiv1.Manifest) { m.BackendServers[2].Pool = "engines"; m.Routes = nil }, []string{"backend_servers[0].pool", "backend_servers[1].pool", "backend_servers[2].pool"}},
		"path twice":        {func(m *apiv1.Manifest) { m.Routes[1].Path = "/v1" }, []string{"routes[0].path", "routes[1].path"}},
		"path slash":        {func(m *apiv1.Manifest) { m.Routes[1].Path = "/v1/" }, []string{"routes[1].path"}},
		"path dots":         {func(m *apiv1.Manifest) { m.Routes[1].Path = "/v1/../x" }, []string{"routes[1].path"}},
		"path reserved":     {func(m *apiv1.Manifest) { m.Routes[1].Path = "/debug/x" }, []string{"routes[1].path"}},
		"non repeatable":    {func(m *apiv1.Manifest) { m.Routes[0].NonRepeatable = true }, []string{"routes[0].non_repeatable"}},
		"open":              {func(m *apiv1.Manifest) { m.Routes[3].Open = true }, []string{"routes[3].non_repeatable"}},
		"class":             {func(m *apiv1.Manifest) { m.Routes[0].Class = 0 }, []string{"routes[0].class"}},
		"host name":         {func(m *apiv1.Manifest) { m.BackendServers[0].Address = "http://example.com:80" }, []string{"backend_servers[0].address"}},
		"address path":      {func(m *apiv1.Manifest) { m.BackendServers[0].Address += "/x" }, []string{"backend_servers[0].address"}},
		"address twice":     {func(m *apiv1.Manifest) { m.BackendServers[0].Address = m.BackendServers[1].Address }, []string{"backend_servers[0].address", "backend_servers[1].address"}},
		"slots":             {func(m *apiv1.Manifest) { m.BackendServers[0].Slots = 0 }, []string{"backend_servers[0].slots"}},
		"batch":             {func(m *apiv1.Manifest) { m.BackendServers[0].MaxBatch = 1 << 20 }, []string{"backend_servers[0].max_batch"}},
		"service with slot": {func(m *apiv1.Manifest) { m.BackendServers[2].Slots = 1 }, []string{"backend_servers[2].kind"}},
		"all at once": {func(m *apiv1.Manifest) { m.Cluster, m.Keys[0].Team, m.Teams[1].Rate.BurstTokens = "", "x", 0 },
			[]string{"cluster", "keys[0].team", "teams[1].rate.burst_tokens"}},
	} {
		m := example(t)
		c.change(m)
		err := Check(m)
		must.Eq(t, c.want, fieldsOf(t, err), must.Sprintf("%s: %v", name, err))
		if err != nil {
			must.Eq(t, err.Error(), Check(m).Error(), must.Sprint("the order of the problems differs between runs"))
		}
	}
}

// A change must be rejected when it leaves a reference without its target,
// whether it changes the reference or the target, and accepted when it changes
// both consistently.
func TestCheckOps(t *testing.T) {
	del := func(op *apiv1.Op) func(*apiv1.Manifest) []*apiv1.Op {
		return func(*apiv1.Manifest) []*apiv1.Op { return []*apiv1.Op{op} }
	}
	delTeam := &apiv1.Op{Op: &apiv1.Op_DeleteTeam{DeleteTeam: "red"}}
	delKey := &apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "red-dev"}}
	delAdapter := &apiv1.Op{Op: &apiv1.Op_DeleteAdapter{DeleteAdapter: "contracts"}}
	for name, c := range map[string]struct {
		ops  func(*apiv1.Manifest) []*apiv1.Op
		want []string
	}{
		"empty":           {func(*apiv1.Manifest) []*apiv1.Op { return nil }, []string{"ops"}},
		"empty op":        {del(&apiv1.Op{}), []string{"ops[0]"}},
		"nil message":     {del(&apiv1.Op{Op: &apiv1.Op_PutKey{}}), []string{"ops[0]"}},
		"key":             {del(delKey), nil},
		"unknown key":     {del(&apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "x"}}), []string{"ops[0].delete_key"}},
		"used team":       {del(delTeam), []string{"ops[0].delete_team", "ops[0].delete_team"}},
		"used base model": {del(&apiv1.Op{Op: &apiv1.Op_DeleteBaseModel{DeleteBaseModel: "base-7b"}}), []string{"ops[0].delete_base_model", "ops[0].delete_base_model"}},
		"last of pool":    {del(&apiv1.Op{Op: &apiv1.Op_DeleteBackendServer{DeleteBackendServer: "service-1"}}), []string{"ops[0].delete_backend_server"}},
		"all engines": {func(*apiv1.Manifest) []*apiv1.Op {
			return []*apiv1.Op{{Op: &apiv1.Op_DeleteBackendServer{DeleteBackendServer: "engine-1"}}, {Op: &apiv1.Op_DeleteBackendServer{DeleteBackendServer: "engine-2"}}}
		}, []string{"ops[0].delete_backend_server"}},
		"one of pool":     {del(&apiv1.Op{Op: &apiv1.Op_DeleteBackendServer{DeleteBackendServer: "engine-1"}}), nil},
		"team with users": {func(*apiv1.Manifest) []*apiv1.Op { return []*apiv1.Op{delTeam, delKey, delAdapter} }, nil},
		"twice":           {func(*apiv1.Manifest) []*apiv1.Op { return []*apiv1.Op{delKey, delKey} }, []string{"ops[1].delete_key"}},
		"moved pool": {func(m *apiv1.Manifest) []*apiv1.Op {
			m.BackendServers[2].Pool = "other"
			return []*apiv1.Op{{Op: &apiv1.Op_PutBackendServer{PutBackendServer: m.BackendServers[2]}}}
		}, []string{"ops[0].put_backend_server"}},
		"stolen hash": {func(m *apiv1.Manifest) []*apiv1.Op {
			return []*apiv1.Op{{Op: &apiv1.Op_PutKey{PutKey: &apiv1.Key{Id: "n", Team: "red", Sha256: m.Keys[0].Sha256}}}}
		}, []string{"ops[0].put_key.sha256"}},
		"moved hash": {func(m *apiv1.Manifest) []*apiv1.Op {
			return []*apiv1.Op{{Op: &apiv1.Op_PutKey{PutKey: &apiv1.Key{Id: "n", Team: "red", Sha256: m.Keys[1].Sha256}}}, delKey}
		}, []string{"ops[0].put_key.sha256"}},
		"adapter without team": {func(m *apiv1.Manifest) []*apiv1.Op {
			m.Adapters[1].Teams = []string{"x"}
			return []*apiv1.Op{{Op: &apiv1.Op_PutAdapter{PutAdapter: m.Adapters[1]}}}
		}, []string{"ops[0].put_adapter.teams[0]"}},
	} {
		s := config.FromManifest(example(t), 1)
		err := CheckOps(s, c.ops(example(t)))
		must.Eq(t, c.want, fieldsOf(t, err), must.Sprintf("%s: %v", name, err))
	}
	swapped := example(t)
	swapped.Keys[0].Sha256, swapped.Keys[1].Sha256 = swapped.Keys[1].Sha256, swapped.Keys[0].Sha256
	must.NoError(t, Check(swapped))
	must.Eq(t, []string{"keys[0].sha256", "keys[1].sha256"},
		fieldsOf(t, CheckManifest(config.FromManifest(example(t), 1), swapped)))
}

// The text must name each changed field, so that an operator can review a change
// before sending it.
func TestDiffText(t *testing.T) {
	s := config.FromManifest(example(t), 1)
	next := example(t)
	next.Teams[0].Rate.BurstTokens = 5
	next.Adapters[1].Teams = nil
	next.Keys = next.Keys[:1]
	next.BaseModels = append(next.BaseModels, &apiv1.BaseModel{Name: "new"})
	next.Routes[0].Class = apiv1.RouteClass_ROUTE_CLASS_BATCH
	must.Eq(t, `+ base_models new
~ adapters contracts: teams: [red] -> []
~ teams blue: rate.burst_tokens: 20000 -> 5
- keys red-dev
~ routes interactive: class: ROUTE_CLASS_INTERACTIVE -> ROUTE_CLASS_BATCH
`, DiffText(s, Diff(s, next)))
}

// A generated key must be found by its hash, and KeyID must return its id.
func TestNewKey(t *testing.T) {
	key, entry, err := NewKey("team_key.1", "blue", rand.Reader)
	must.NoError(t, err)
	m := example(t)
	m.Keys = append(m.Keys, entry)
	must.NoError(t, Check(m))
	got, ok := config.FromManifest(m, 1).KeyByHash(config.HashKey(key))
	must.True(t, ok)
	must.Eq(t, "team_key.1", got.GetId())
	id, ok := KeyID(key)
	must.True(t, ok)
	must.Eq(t, "team_key.1", id)
	must.Eq(t, len("jsk_team_key.1_")+52, len(key))
	_, _, err = NewKey("a b", "blue", rand.Reader)
	must.Error(t, err)
	_, _, err = NewKey("a", "blue", strings.NewReader("short"))
	must.Error(t, err)
	_, ok = KeyID("jsk_")
	must.False(t, ok)
}

// largeManifest returns a valid manifest with n adapters.
func largeManifest(tb testing.TB, n int) *apiv1.Manifest {
	m := example(tb)
	for i := range n {
		name := fmt.Sprintf("adapter-%05d", i)
		m.Adapters = append(m.Adapters, &apiv1.Adapter{
			Name: name, BaseModel: "base-7b", DefaultVersion: "1", Teams: []string{"blue"},
			Versions: []*apiv1.AdapterVersion{{Version: "1", Weights: name + "/1"}},
		})
	}
	return m
}

func BenchmarkCheckOneOp(b *testing.B) {
	for _, n := range []int{3_000, 28_000} {
		s := config.FromManifest(largeManifest(b, n), 1)
		x := NewIndex(s)
		ops := map[string]*apiv1.Op{
			"put_adapter": {Op: &apiv1.Op_PutAdapter{PutAdapter: s.Adapters()[1]}},
			"delete_team": {Op: &apiv1.Op_DeleteTeam{DeleteTeam: "blue"}},
		}
		for _, name := range []string{"put_adapter", "delete_team"} {
			b.Run(fmt.Sprintf("%s/adapters=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					_ = x.Check(s, []*apiv1.Op{ops[name]})
				}
			})
		}
	}
}

func FuzzRead(f *testing.F) {
	text, err := os.ReadFile(examplePath)
	must.NoError(f, err)
	f.Add(text)
	for _, seed := range []string{"", "{", `{"teams":[{"weight":1e3}]}`, "a: &b c", "? - [\n- :", "cluster: |\n  x\n", "teams: [{rate: {burst_tokens: 18446744073709551615}}]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(data)
		if err != nil {
			_, ok := fault.As(err)
			must.True(t, ok, must.Sprintf("the error has no kind: %v", err))
			return
		}
		if Check(m) != nil {
			return
		}
		// A valid manifest must be unchanged by encoding and decoding.
		again, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
		must.NoError(t, err)
		back, err := Read(again)
		must.NoError(t, err)
		must.True(t, proto.Equal(m, back))
	})
}
