package devfleet

import (
	"fmt"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

// Names in the sample manifest.
const (
	BaseModel   = "base"
	TeamLarge   = "large"
	TeamSmall   = "small"
	ServicePath = "/booking"
	// SampleAdapters is the number of adapters. It exceeds the default number of
	// adapter slots of one engine.
	SampleAdapters = 12
)

// Keys of the sample manifest. They are public and valid in the development fleet
// only.
const (
	KeyLarge = "jsk_large_development-key-not-for-production"
	KeySmall = "jsk_small_development-key-not-for-production"
)

// AdapterName returns the name of a sample adapter.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%02d", i) }

// Manifest returns the sample manifest of the fleet.
func (f *Fleet) Manifest() *apiv1.Manifest {
	m := &apiv1.Manifest{
		Cluster:    Cluster,
		BaseModels: []*apiv1.BaseModel{{Name: BaseModel}},
		Teams: []*apiv1.Team{
			{Name: TeamLarge, Rate: &apiv1.Rate{TokensPerSecond: 20_000, BurstTokens: 40_000}, Weight: 1},
			{Name: TeamSmall, Rate: &apiv1.Rate{TokensPerSecond: 2_000, BurstTokens: 4_000}, Weight: 1},
		},
		Keys: []*apiv1.Key{
			{Id: TeamLarge, Team: TeamLarge, Sha256: manifest.HashKey(KeyLarge)},
			{Id: TeamSmall, Team: TeamSmall, Sha256: manifest.HashKey(KeySmall)},
		},
		Routes: []*apiv1.Route{
			{Name: "questions", Path: "/v1", Kind: apiv1.RouteKind_ROUTE_KIND_MODEL, Class: apiv1.RouteClass_ROUTE_CLASS_INTERACTIVE, Pool: "assistant"},
			{Name: "summaries", Path: "/batch/v1", Kind: apiv1.RouteKind_ROUTE_KIND_MODEL, Class: apiv1.RouteClass_ROUTE_CLASS_BATCH, Pool: "assistant"},
			{Name: "booking", Path: ServicePath, Kind: apiv1.RouteKind_ROUTE_KIND_SERVICE, Class: apiv1.RouteClass_ROUTE_CLASS_INTERACTIVE, Pool: "registration", NonRepeatable: true},
			{Name: "public", Path: "/public", Kind: apiv1.RouteKind_ROUTE_KIND_SERVICE, Class: apiv1.RouteClass_ROUTE_CLASS_INTERACTIVE, Pool: "registration", Open: true},
		},
	}
	for i := range SampleAdapters {
		m.Adapters = append(m.Adapters, &apiv1.Adapter{
			Name: AdapterName(i), BaseModel: BaseModel, DefaultVersion: "1",
			Versions: []*apiv1.AdapterVersion{{Version: "1", Weights: "adapters/" + AdapterName(i) + "/1"}},
		})
	}
	f.addBackends(m)
	return m
}

func (f *Fleet) addBackends(m *apiv1.Manifest) {
	for i, url := range f.EngineURLs {
		m.BackendServers = append(m.BackendServers, &apiv1.BackendServer{
			Name: fmt.Sprintf("engine-%d", i+1), Address: url, FailureDomain: failureDomain(i),
			Kind: apiv1.BackendKind_BACKEND_KIND_ENGINE, Pool: "assistant", BaseModel: BaseModel,
			Slots: uint32(f.Options.Engine.Slots), MaxBatch: 16, ChecksFencing: f.Options.Engine.CheckFencing,
		})
	}
	for i, url := range f.ServiceURLs {
		m.BackendServers = append(m.BackendServers, &apiv1.BackendServer{
			Name: fmt.Sprintf("service-%d", i+1), Address: url, FailureDomain: failureDomain(i),
			Kind: apiv1.BackendKind_BACKEND_KIND_SERVICE, Pool: "registration",
		})
	}
}
