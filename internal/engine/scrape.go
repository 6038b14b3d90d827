package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
)

// Names of the engine's metrics.
const (
	metricRunning = "vllm:num_requests_running"
	metricWaiting = "vllm:num_requests_waiting"
	metricKVUsage = "vllm:kv_cache_usage_perc"
	metricStart   = "process_start_time_seconds"
)

// maxRequests limits the reported running and waiting requests. It is far above
// what an engine can have; a larger figure is a fault of the engine.
const maxRequests = 1 << 20

// Scrape reads the engine's load and residency. It reads the start identity
// first: when the engine restarts in between, the residency of the new run is
// attributed to the old one until the next scrape, and never the reverse.
func (c *Client) Scrape(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*scrapeTimeout)
	defer cancel()
	bounds := pool.Bounds{FirstByte: scrapeTimeout, Gap: scrapeTimeout}
	load, err := c.scrapeMetrics(ctx, bounds, false)
	if err != nil {
		return Load{}, err
	}
	status, data, err := c.doWhole(ctx, httpRequest{
		method: http.MethodGet, path: pathModels, id: newID("scrape-"), bounds: bounds,
	}, maxModelsBytes)
	if err != nil {
		return Load{}, err
	}
	if status != http.StatusOK {
		return Load{}, c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "answered %s with status %d", pathModels, status)
	}
	load.Adapters, err = parseModels(data, c.baseModel)
	if err != nil {
		return Load{}, c.invalidReport(pathModels, err)
	}
	return load, nil
}

func (c *Client) invalidReport(path string, err error) error {
	return c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "reported invalid data in %s: %v", path, err)
}

func (c *Client) scrapeMetrics(ctx context.Context, bounds pool.Bounds, newConn bool) (Load, error) {
	status, data, err := c.doWhole(ctx, httpRequest{
		method: http.MethodGet, path: pathMetrics, id: newID("scrape-"), bounds: bounds, newConn: newConn,
	}, maxMetricsBytes)
	if err != nil {
		return Load{}, err
	}
	if status != http.StatusOK {
		return Load{}, c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "answered %s with status %d", pathMetrics, status)
	}
	load, err := parseMetrics(bytes.NewReader(data))
	if err != nil {
		return Load{}, c.invalidReport(pathMetrics, err)
	}
	return load, nil
}

// parseMetrics reads the metrics text and checks each figure's range.
func parseMetrics(r io.Reader) (Load, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return Load{}, errors.Wrap(err, "parse metrics text")
	}
	running, err := gauge(families, metricRunning, maxRequests)
	if err != nil {
		return Load{}, err
	}
	waiting, err := gauge(families, metricWaiting, maxRequests)
	if err != nil {
		return Load{}, err
	}
	usage, err := gauge(families, metricKVUsage, 1)
	if err != nil {
		return Load{}, err
	}
	start, err := gauge(families, metricStart, math.MaxUint32)
	if err != nil {
		return Load{}, err
	}
	if start == 0 {
		return Load{}, errors.Newf("%s is 0", metricStart)
	}
	return Load{
		StartID: strconv.FormatFloat(start, 'f', -1, 64),
		Running: int(running), Waiting: int(waiting), KVUsage: usage,
	}, nil
}

// gauge returns the sum of a family over its label sets, within [0, limit].
func gauge(families map[string]*dto.MetricFamily, name string, limit float64) (float64, error) {
	family, ok := families[name]
	if !ok || len(family.GetMetric()) == 0 {
		return 0, errors.Newf("%s is missing", name)
	}
	sum := 0.0
	for _, m := range family.GetMetric() {
		v := metricValue(m)
		// The comparison is also false for NaN.
		if !(v >= 0 && v <= limit) {
			return 0, errors.Newf("%s is %v, outside [0, %v]", name, v, limit)
		}
		sum += v
	}
	if sum > limit {
		return 0, errors.Newf("%s is %v, outside [0, %v]", name, sum, limit)
	}
	return sum, nil
}

func metricValue(m *dto.Metric) float64 {
	switch {
	case m.GetGauge() != nil:
		return m.GetGauge().GetValue()
	case m.GetCounter() != nil:
		return m.GetCounter().GetValue()
	case m.GetUntyped() != nil:
		return m.GetUntyped().GetValue()
	default:
		return math.NaN()
	}
}

type modelList struct {
	Data []struct {
		ID string `json:"id"`
		// Parent is the base model of an adapter.
		Parent string `json:"parent"`
	} `json:"data"`
}

// parseModels returns the resident adapter versions. A name that is not valid in
// the manifest makes the whole report invalid, because it occupies an adapter
// slot that cannot be accounted for.
func parseModels(data []byte, baseModel string) ([]*apiv1.AdapterRef, error) {
	var list modelList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "parse model list")
	}
	if len(list.Data) > maxAdapters {
		return nil, errors.Newf("%d models exceed the limit of %d", len(list.Data), maxAdapters)
	}
	var refs []*apiv1.AdapterRef
	seen := map[string]bool{}
	for _, m := range list.Data {
		if m.Parent == "" || m.ID == baseModel {
			continue
		}
		ref, ok := parseModelName(m.ID)
		if !ok {
			return nil, errors.Newf("%.64q is not of the form ADAPTER:VERSION", m.ID)
		}
		if seen[m.ID] {
			return nil, errors.Newf("%q is listed twice", m.ID)
		}
		seen[m.ID] = true
		refs = append(refs, ref)
	}
	return refs, nil
}
