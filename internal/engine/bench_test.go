package engine_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// bareClient is the baseline: net/http without this package's checks and limits.
type bareClient struct {
	transport *http.Transport
	url       string
}

func (c *bareClient) open(b *testing.B, id string, body []byte) *http.Response {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, c.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", id)
	resp, err := c.transport.RoundTrip(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(err, resp)
	}
	return resp
}

func newBareClient(url string, conns int) *bareClient {
	return &bareClient{&http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true}, url}
}

func newClient(url string, conns int) *engine.Client {
	return engine.New(&apiv1.BackendServer{Name: "e", Address: url, BaseModel: "base"}, pool.NewSet(pool.Options{MaxConns: 2 * conns}))
}

func requestBody(stream bool, tokens, prompt int) []byte {
	return fmt.Appendf(nil, `{"max_tokens":%d,"model":"base","prompt":%q,"stream":%t}`, tokens, bytes.Repeat([]byte("p"), prompt), stream)
}

// BenchmarkCall compares the engine client with a bare net/http client of the
// same stand-in. Compare the lines of one run as ratios.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := standin.NewEngine(standin.EngineOptions{TokenTime: time.Nanosecond})
	go func() { _ = e.Serve(l) }()
	defer e.Close()
	url := "http://" + l.Addr().String()
	bare, client := newBareClient(url, 16), newClient(url, 16)
	defer bare.transport.CloseIdleConnections()
	for _, stream := range []bool{false, true} {
		body := requestBody(stream, 16, 1024)
		b.Run(fmt.Sprintf("stream=%t/bare", stream), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				resp := bare.open(b, fmt.Sprintf("bare-%d", i), body)
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
		b.Run(fmt.Sprintf("stream=%t/engine", stream), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				resp, err := client.Do(b.Context(), engine.Request{
					Path: "/v1/completions", AttemptID: fmt.Sprintf("engine-%d", i), Model: "base", Body: body, Stream: stream,
				})
				if err != nil {
					b.Fatal(err)
				}
				for stream && err == nil {
					_, err = resp.Stream.Next()
				}
			}
		})
	}
}

// BenchmarkOpenStreams reports the memory that this process uses for each of
// 1,000 open streams. The engine runs in another process, whose URL is in
// JASMINE_BENCH_ENGINE: standin-engine -max-batch 2000.
func BenchmarkOpenStreams(b *testing.B) {
	url := os.Getenv("JASMINE_BENCH_ENGINE")
	if url == "" {
		b.Skip("JASMINE_BENCH_ENGINE is not set")
	}
	const streams = 1000
	var body []byte
	bare, client := newBareClient(url, streams), newClient(url, streams)
	for name, open := range map[string]func(id string) io.Closer{
		"bare": func(id string) io.Closer {
			resp := bare.open(b, id, body)
			go func() {
				lines := bufio.NewScanner(resp.Body)
				for lines.Scan() {
				}
			}()
			return resp.Body
		},
		"engine": func(id string) io.Closer {
			resp, err := client.Do(b.Context(), engine.Request{
				Path: "/v1/completions", AttemptID: id, Model: "base", Body: body, Stream: true,
			})
			if err != nil {
				b.Fatal(err)
			}
			go func() {
				for err == nil {
					_, err = resp.Stream.Next()
				}
			}()
			return resp.Stream
		},
	} {
		for _, prompt := range []int{1 << 10, 32 << 10} {
			b.Run(fmt.Sprintf("%s/prompt=%d", name, prompt), func(b *testing.B) {
				body = requestBody(true, 100_000, prompt)
				reportMemoryPerStream(b, streams, func(i int) io.Closer { return open(fmt.Sprintf("%s-%d-%d-%d", name, os.Getpid(), prompt, i)) })
			})
		}
	}
}

// reportMemoryPerStream reports the memory per stream of the given number of open streams.
func reportMemoryPerStream(b *testing.B, streams int, open func(i int) io.Closer) {
	for range b.N {
		before := memoryInUse()
		var all []io.Closer
		for i := range streams {
			all = append(all, open(i))
		}
		// The buffers reach their usual size only after the streams have been read
		// for a while.
		time.Sleep(2 * time.Second)
		b.ReportMetric(float64(memoryInUse()-before)/float64(streams), "B/stream")
		for _, c := range all {
			c.Close()
		}
		time.Sleep(time.Second)
	}
}

// memoryInUse returns the bytes of the heap in use after a garbage collection,
// and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
