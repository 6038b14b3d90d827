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
// streamed completion, by tokens: the time through the host less the time of
// direct requests to the engine. The client and the stand-in engine run in this
// process; their time cancels out in the difference.
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
	entryHost := newEntryServer(conf, pools, account)
	client := engine.New(m.BackendServers[0], pools)
	if err := client.Load(b.ctx, engine.Order{Ref: adapterRef(0), Weights: "w", FencingNumber: 1}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	go func() { _ = entryHost.Run(ctx) }()
	go simulateLeader(ctx, entryHost, account, e.StartID())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := entryHost.HTTPServer("")
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	return b.hopCost(address, "http://"+l.Addr().String())
}

// simulateLeader grants tokens and reports one ready engine to the entry host
// every 100 ms, in place of a control leader.
func simulateLeader(ctx context.Context, entryHost *entry.Server, account *rate.Account, startID string) {
	for version := uint64(1); ctx.Err() == nil; version++ {
		now := time.Now()
		req := account.Request(now)
		account.Apply(req, &apiv1.BorrowResponse{Term: 1, Sequence: req.GetSequence(), Grants: []*apiv1.TeamGrant{
			{Team: teamName(0), Granted: 100_000_000, ValidMs: 2000},
		}}, now)
		entryHost.Report()
		entryHost.ApplyFleet(&apiv1.ReportResponse{Term: 1, FleetVersion: version, Engines: []*apiv1.EngineStatus{{
			Name: engineName(0), Healthy: true, StartId: startID,
			Slots: []*apiv1.Slot{{Ref: adapterRef(0), State: apiv1.SlotState_SLOT_STATE_READY}},
		}}}, now)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// hopCost measures the difference in processor time between requests to the URL
// through, an entry host, and to the URL direct, the engine.
func (b *bench) hopCost(direct, through string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentStreams}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	if err := awaitReady(client, through); err != nil {
		return err
	}
	var sendErr error
	tokens, rounds := []int{1, 85, 170, 255, 340}, 5
	if b.quick {
		tokens, rounds = []int{1, 2, 3, 4}, 1
	}
	b.sweep("request.cpu", "processor time that an entry host adds to a streamed request", "tokens streamed", "s", tokens, func(n int) float64 {
		minTime := map[string]time.Duration{through: time.Minute, direct: time.Minute}
		for range rounds {
			for _, url := range []string{direct, through} {
				start := cpuTime()
				for range 2 {
					sendBatch(client, url, n, &sendErr)
				}
				minTime[url] = min(minTime[url], cpuTime()-start)
			}
		}
		return max(0, (minTime[through]-minTime[direct]).Seconds()) / (2 * concurrentStreams)
	})
	return sendErr
}

// concurrentStreams is the number of concurrent requests in a batch.
const concurrentStreams = 32

// sendBatch sends concurrentStreams requests concurrently and stores an error in
// sendErr.
func sendBatch(client *http.Client, url string, tokens int, sendErr *error) {
	var g errgroup.Group
	for range concurrentStreams {
		g.Go(func() error { return sendRequest(client, url, tokens) })
	}
	if err := g.Wait(); err != nil {
		*sendErr = err
	}
}

// awaitReady retries a request until the entry host knows its engine and has
// tokens.
func awaitReady(client *http.Client, url string) error {
	var err error
	for range 50 {
		if err = sendRequest(client, url, 1); err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func sendRequest(client *http.Client, url string, tokens int) error {
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
