// Package load drives an OpenAI-compatible base URL with a bounded number of
// requests, checks every answer against what a stand-in engine has to answer,
// and measures times with HDR histograms.
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

// Bounds on a run, so that it always ends by itself.
const (
	maxRequests = 10_000_000
	maxDuration = time.Hour
	maxWorkers  = 10_000
)

// Options describe a load run. Zero values select the defaults.
type Options struct {
	// URL is the base URL without /v1.
	URL string
	// Key is sent as a bearer token when it is not empty.
	Key string
	// Models are the names that the requests call, ADAPTER or ADAPTER:VERSION or
	// the name of a base model. The first ones are the most popular.
	Models []string
	// Skew is the exponent of a Zipf distribution over the models; at most 1
	// selects a uniform distribution.
	Skew float64
	// Chat selects chat completions, and Whole answers that are not streamed.
	Chat, Whole bool
	// Workers bounds the requests in flight; default 16.
	Workers int
	// Rate is the number of requests started per second. With 0, each worker
	// starts a request when its last one has ended.
	Rate float64
	// Requests and Duration bound the run; defaults 1000 and 30 s. Requests that
	// have started are finished.
	Requests int
	Duration time.Duration
	// Timeout bounds one request; default 60 s.
	Timeout time.Duration
	// PromptBytes is the length of a prompt; default 256. Three quarters of it
	// are the same for all requests of a model.
	PromptBytes int
	// MaxTokens is the length of an answer; default 16.
	MaxTokens int
	// Seed selects models; equal seeds give equal sequences.
	Seed uint64
	// Transport replaces the HTTP transport.
	Transport http.RoundTripper
}

// inRange sets the default and reports a value outside [1, limit].
func inRange[T int | time.Duration](field string, v *T, def, limit T) error {
	if *v == 0 {
		*v = def
	}
	if *v < 1 || *v > limit {
		return fault.Newf(fault.KindInvalidSetting, "give a value within the bounds",
			"%v is outside [1, %v]", *v, limit).At(field)
	}
	return nil
}

func (o Options) check() (Options, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" {
		return o, fault.New(fault.KindInvalidSetting, "no base URL", "give one such as http://127.0.0.1:8080").At("url")
	}
	if len(o.Models) == 0 {
		return o, fault.New(fault.KindInvalidSetting, "no models", "name at least one").At("models")
	}
	for _, err := range []error{
		inRange("workers", &o.Workers, 16, maxWorkers),
		inRange("requests", &o.Requests, 1000, maxRequests),
		inRange("duration", &o.Duration, 30*time.Second, maxDuration),
		inRange("timeout", &o.Timeout, time.Minute, maxDuration),
		inRange("prompt-bytes", &o.PromptBytes, 256, 1<<20),
		inRange("max-tokens", &o.MaxTokens, 16, 1<<20),
	} {
		if err != nil {
			return o, err
		}
	}
	return o, nil
}

// Run makes the load run and returns what happened. A cancelled context stops
// it; the requests in flight then count as aborted.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts, err := opts.check()
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
		c := &caller{opts: opts, base: strings.TrimSuffix(opts.URL, "/"), report: results[i]}
		wg.Go(func() {
			for j := range jobs {
				c.run(ctx, j)
			}
		})
	}
	feed(ctx, opts, began, jobs)
	wg.Wait()
	total := newReport()
	for _, r := range results {
		total.merge(r)
	}
	total.Elapsed = time.Since(began)
	return *total, nil
}

// job is one request. Its times count from start, which with a rate is when it
// should have begun, so that a slow server cannot hide its delays.
type job struct {
	number int
	model  string
	start  time.Time
}

// feed starts the requests and closes jobs at the end of the run.
func feed(ctx context.Context, opts Options, began time.Time, jobs chan<- job) {
	defer close(jobs)
	ctx, cancel := context.WithDeadline(ctx, began.Add(opts.Duration))
	defer cancel()
	source := rand.New(rand.NewPCG(opts.Seed, 1))
	pick := func() int { return source.IntN(len(opts.Models)) }
	if opts.Skew > 1 && len(opts.Models) > 1 {
		zipf := rand.NewZipf(source, opts.Skew, 1, uint64(len(opts.Models)-1))
		pick = func() int { return int(zipf.Uint64()) }
	}
	limiter := rate.NewLimiter(rate.Inf, 1)
	if opts.Rate > 0 {
		limiter = rate.NewLimiter(rate.Limit(opts.Rate), 1)
	}
	for n := range opts.Requests {
		if limiter.Wait(ctx) != nil {
			return
		}
		j := job{number: n, model: opts.Models[pick()]}
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
