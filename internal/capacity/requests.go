package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/entry"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// measureRequests measures the processor time that an entry host adds to a
// streamed completion, by tokens: the time through the host less the time
// straight to the engine. Caller and stand-in are in this process and drop out.
func (b *bench) measureRequests() error {
	e, address, err := serveEngine(standin.EngineOptions{BaseModel: baseModel, MaxBatch: 64, TokenTime: 500 * time.Microsecond, LoadTime: time.Microsecond})
	if err != nil {
		return err
	}
	defer e.Close()
	m := manifest(1, 1, 1, 1)
	m.BackendServers[0].Address = address
	conf := config.FromManifest(m, 1)
	pools := pool.NewSet(pool.Options{})
	defer pools.Close()
	account := rate.NewAccount(hostName(0), 1)
	host := entryServer(conf, pools, account)
	client := engine.New(m.BackendServers[0], pools)
	if err := client.Load(b.ctx, engine.Order{Ref: refOf(0), Weights: "w", Fence: 1}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	go func() { _ = host.Run(ctx) }()
	go heartbeat(ctx, host, account, e.StartID())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	front := host.HTTPServer("")
	go func() { _ = front.Serve(l) }()
	defer front.Close()
	return b.hopCost(address, "http://"+l.Addr().String())
}

// heartbeat plays the control leader for one engine.
func heartbeat(ctx context.Context, host *entry.Server, account *rate.Account, startID string) {
	for version := uint64(1); ctx.Err() == nil; version++ {
		now := time.Now()
		req := account.Request(now)
		account.Apply(req, &apiv1.BorrowResponse{Term: 1, Sequence: req.GetSequence(), Grants: []*apiv1.TeamGrant{
			{Team: teamName(0), Granted: 100_000_000, ValidMs: 2000},
		}}, now)
		host.Report()
		host.ApplyFleet(&apiv1.ReportResponse{Term: 1, FleetVersion: version, Engines: []*apiv1.EngineStatus{{
			Name: engineName(0), Healthy: true, StartId: startID,
			Slots: []*apiv1.Slot{{Ref: refOf(0), State: apiv1.SlotState_SLOT_STATE_READY}},
		}}}, now)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (b *bench) hopCost(direct, through string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: batchSize}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	if err := awaitReady(client, through); err != nil {
		return err
	}
	var failed error
	tokens, rounds := []int{1, 85, 170, 255, 340}, 5
	if b.quick {
		tokens, rounds = []int{1, 2, 3, 4}, 1
	}
	b.sweep("request.cpu", "processor time that an entry host adds to a streamed request", "tokens streamed", "s", tokens, func(n int) float64 {
		least := map[string]time.Duration{through: time.Minute, direct: time.Minute}
		for range rounds {
			for _, url := range []string{direct, through} {
				start := cpuTime()
				for range 2 {
					batch(client, url, n, &failed)
				}
				least[url] = min(least[url], cpuTime()-start)
			}
		}
		return max(0, (least[through]-least[direct]).Seconds()) / (2 * batchSize)
	})
	return failed
}

// batchSize is the number of streams at a time.
const batchSize = 32

// batch sends requests at the same time.
func batch(client *http.Client, url string, tokens int, failed *error) {
	var g errgroup.Group
	for range batchSize {
		g.Go(func() error { return send(client, url, tokens) })
	}
	if err := g.Wait(); err != nil {
		*failed = err
	}
}

// awaitReady sends until the host has its engine and its tokens.
func awaitReady(client *http.Client, url string) error {
	var err error
	for range 50 {
		if err = send(client, url, 1); err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func send(client *http.Client, url string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`,
		adapterName(0)+":v1", bytes.Repeat([]byte("word "), 100), tokens)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer key-0")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return err
}
