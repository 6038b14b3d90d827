// Package load is a load generator for an OpenAI-compatible API that stand-in
// engines serve. It sends a limited number of requests, compares every completion
// with the text that a stand-in engine must generate, and records latencies in HDR
// histograms.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Limits on a run, so that every run ends.
const (
	maxRequests = 10_000_000
	maxDuration = time.Hour
	maxWorkers  = 10_000
)

// Options configure a load run. Zero values select the defaults.
type Options struct {
	// URL is the base URL without /v1.
	URL string
	// Key is sent as a bearer token when it is not empty.
	Key string
	// Models are the model names to request: ADAPTER, ADAPTER:VERSION or the name
	// of a base model, the most popular first.
	Models []string
	// Skew is the exponent of a Zipf distribution over the models; a value of at
	// most 1 selects a uniform distribution.
	Skew float64
	// Chat selects chat completions, and NoStream responses that are not streamed.
	Chat, NoStream bool
	// Workers is the maximum number of requests in flight; default 16.
	Workers int
	// Rate is the number of requests started per second. With 0, each worker
	// starts its next request when the previous one has ended.
	Rate float64
	// Requests is the maximum number of requests, default 1000, and Duration the
	// time after which no more are started, default 30 s. The run waits for the
	// requests that have started.
	Requests int
	Duration time.Duration
	// Timeout is the time limit of one request; default 60 s.
	Timeout time.Duration
	// PromptBytes is the length of a prompt; default 256. The first three quarters
	// are the same in all requests of a model.
	PromptBytes int
	// MaxTokens is the length of a completion; default 16.
	MaxTokens int
	// Seed seeds the choice of models; equal seeds give equal sequences.
	Seed uint64
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

// setDefault replaces a zero value by the default and returns an error for a
// value outside [1, limit].
func setDefault[T int | time.Duration](field string, v *T, def, limit T) error {
	if *v == 0 {
		*v = def
	}
	if *v < 1 || *v > limit {
		return fault.Newf(fault.KindInvalidSetting, "give a value within the limits",
			"%v is outside [1, %v]", *v, limit).At(field)
	}
	return nil
}

func (o Options) validate() (Options, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" {
		return o, fault.New(fault.KindInvalidSetting, "no base URL", "give one such as http://127.0.0.1:8080").At("url")
	}
	if len(o.Models) == 0 {
		return o, fault.New(fault.KindInvalidSetting, "no models", "name at least one").At("models")
	}
	for _, err := range []error{
		setDefault("workers", &o.Workers, 16, maxWorkers),
		setDefault("requests", &o.Requests, 1000, maxRequests),
		setDefault("duration", &o.Duration, 30*time.Second, maxDuration),
		setDefault("timeout", &o.Timeout, time.Minute, maxDuration),
		setDefault("prompt-bytes", &o.PromptBytes, 256, 1<<20),
		setDefault("max-tokens", &o.MaxTokens, 16, 1<<20),
	} {
		if err != nil {
			return o, err
		}
	}
	return o, nil
}

// Run runs the load and returns its report. When ctx is cancelled, the run stops
// and counts the requests in flight as aborted.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts, err := opts.validate()
	if err != nil {
		return Report{}, err
	}
	if opts.Transport == nil {
		t := &http.Transport{MaxIdleConnsPerHost: opts.Workers, DisableCompression: true}
		defer t.CloseIdleConnections()
		opts.Transport = t
	}
	began := time.Now()
	jobs := make(chan job)
	results := make([]*Report, opts.Workers)
	var wg sync.WaitGroup
	for i := range results {
		results[i] = newReport()
		w := &worker{opts: opts, base: strings.TrimSuffix(opts.URL, "/"), report: results[i]}
		wg.Go(func() {
			for j := range jobs {
				w.run(ctx, j)
			}
		})
	}
	dispatch(ctx, opts, began, jobs)
	wg.Wait()
	total := newReport()
	for _, r := range results {
		total.merge(r)
	}
	total.Elapsed = time.Since(began)
	return *total, nil
}

// job is one request to send. Latencies count from start. With a rate, that is when
// the rate limiter releases the request, so that its latency includes the wait for
// a free worker while the server is slow.
type job struct {
	number int
	model  string
	start  time.Time
}

// dispatch sends jobs to the workers and closes the channel at the end of the run.
func dispatch(ctx context.Context, opts Options, began time.Time, jobs chan<- job) {
	defer close(jobs)
	ctx, cancel := context.WithDeadline(ctx, began.Add(opts.Duration))
	defer cancel()
	source := rand.New(rand.NewPCG(opts.Seed, 1))
	pickModel := func() int { return source.IntN(len(opts.Models)) }
	if opts.Skew > 1 && len(opts.Models) > 1 {
		zipf := rand.NewZipf(source, opts.Skew, 1, uint64(len(opts.Models)-1))
		pickModel = func() int { return int(zipf.Uint64()) }
	}
	limiter := rate.NewLimiter(rate.Inf, 1)
	if opts.Rate > 0 {
		limiter = rate.NewLimiter(rate.Limit(opts.Rate), 1)
	}
	for n := range opts.Requests {
		if limiter.Wait(ctx) != nil {
			return
		}
		j := job{number: n, model: opts.Models[pickModel()]}
		if opts.Rate > 0 {
			j.start = time.Now()
		}
		select {
		case jobs <- j:
		case <-ctx.Done():
			return
		}
	}
}
