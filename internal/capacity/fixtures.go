package capacity

import (
	"encoding/hex"
	"fmt"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

const (
	cluster   = "capacity"
	baseModel = "base-large"
	poolName  = "llm"
)

func teamName(i int) string    { return fmt.Sprintf("team-%03d", i) }
func adapterName(i int) string { return fmt.Sprintf("adapter-%05d", i) }
func engineName(i int) string  { return fmt.Sprintf("engine-%05d", i) }
func hostName(i int) string    { return fmt.Sprintf("entry-%04d", i) }
func domainName(i int) string  { return fmt.Sprintf("region-%d-fd-%d", i%3, i%8) }
func adapterRef(i int) *apiv1.AdapterRef {
	return &apiv1.AdapterRef{Adapter: adapterName(i), Version: "v1"}
}

func adapter(i, teams int, weights string) *apiv1.Adapter {
	a := &apiv1.Adapter{
		Name: adapterName(i), BaseModel: baseModel, DefaultVersion: "v1",
		Versions: []*apiv1.AdapterVersion{{Version: "v1", Weights: fmt.Sprintf("weights/%s/%s", adapterName(i), weights)}},
	}
	if teams > 0 {
		a.Teams = []string{teamName(i % teams)}
	}
	return a
}

func engineAddress(i int) string {
	return fmt.Sprintf("http://10.%d.%d.%d:8000", i>>16, i>>8&255, i&255)
}

func engineServer(i int) *apiv1.BackendServer {
	return &apiv1.BackendServer{
		Name: engineName(i), Address: engineAddress(i),
		FailureDomain: domainName(i), Kind: apiv1.BackendKind_BACKEND_KIND_ENGINE, Pool: poolName,
		BaseModel: baseModel, Slots: 8, MaxBatch: 64, ChecksFencing: true,
	}
}

// keyHash returns the stored hash of the API key "key-I", where I is i.
func keyHash(i int) string {
	h := config.HashKey(fmt.Sprint("key-", i))
	return hex.EncodeToString(h[:])
}

// manifest returns a manifest with the given numbers of adapters, engines and
// teams, and with keys API keys per team.
func manifest(adapters, engines, teams, keys int) *apiv1.Manifest {
	m := &apiv1.Manifest{
		Cluster:    cluster,
		BaseModels: []*apiv1.BaseModel{{Name: baseModel}},
	}
	if engines > 0 {
		// A model route is valid only if its pool has engines.
		m.Routes = []*apiv1.Route{{
			Name: "v1", Path: "/v1", Kind: apiv1.RouteKind_ROUTE_KIND_MODEL,
			Class: apiv1.RouteClass_ROUTE_CLASS_INTERACTIVE, Pool: poolName,
		}}
	}
	for i := range teams {
		m.Teams = append(m.Teams, &apiv1.Team{
			Name: teamName(i), Rate: &apiv1.Rate{TokensPerSecond: 1_000_000, BurstTokens: 10_000_000},
		})
		for k := range keys {
			id := i*keys + k
			m.Keys = append(m.Keys, &apiv1.Key{Id: fmt.Sprintf("key-%05d", id), Team: teamName(i), Sha256: keyHash(id)})
		}
	}
	for i := range adapters {
		m.Adapters = append(m.Adapters, adapter(i, teams, "v1"))
	}
	for i := range engines {
		m.BackendServers = append(m.BackendServers, engineServer(i))
	}
	return m
}

func putAdapter(i, teams int, weights string) *apiv1.Op {
	return &apiv1.Op{Op: &apiv1.Op_PutAdapter{PutAdapter: adapter(i, teams, weights)}}
}

// change returns a numbered change as it is stored and sent. It puts one adapter
// with new weights.
func change(number uint64, adapters, teams int) *apiv1.Change {
	return &apiv1.Change{
		Number: number, Digest: make([]byte, 32), Author: "operator@example.com", AcceptedUnixMs: 1_800_000_000_000,
		Ops: []*apiv1.Op{putAdapter(int(number)%adapters, teams, fmt.Sprint("r", number))},
	}
}

func changeCommand(number uint64, adapters, teams int) *apiv1.Command {
	c := change(number, adapters, teams)
	return &apiv1.Command{UnixMs: c.AcceptedUnixMs, Command: &apiv1.Command_Change{
		Change: &apiv1.ChangeCommand{Number: number, Author: c.Author, Ops: c.Ops},
	}}
}
