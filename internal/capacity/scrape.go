package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// serveEngine starts a stand-in engine on a loopback address.
func serveEngine(o standin.EngineOptions) (e *standin.Engine, address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	e = standin.NewEngine(o)
	go func() { _ = e.Serve(l) }()
	return e, "http://" + l.Addr().String(), nil
}

// measureScrape measures scrapes of a stand-in engine by resident adapters. The
// processor time is an upper bound, since it includes that of the stand-in.
func (b *bench) measureScrape() error {
	var cpu, bytes []Point
	for _, n := range []int{1, 2, 4, 8, 16} {
		c, y, err := b.scrapeCost(n)
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{X: float64(n), Y: c})
		bytes = append(bytes, Point{X: float64(n), Y: y})
	}
	b.slopes = append(b.slopes,
		Fit("scrape.cpu", "scrape of an engine, with the stand-in's part", "resident adapters", "s", cpu),
		Fit("scrape.bytes", "scrape of an engine, both directions", "resident adapters", "bytes", bytes))
	return nil
}

func (b *bench) scrapeCost(adapters int) (cpu, bytes float64, err error) {
	e, address, err := serveEngine(standin.EngineOptions{Slots: adapters, BaseModel: baseModel, LoadTime: time.Microsecond, Store: standin.NewWeightStore(standin.WeightStoreOptions{PerSecond: 1e6})})
	if err != nil {
		return 0, 0, err
	}
	defer e.Close()
	count := &byteCounter{}
	pools := pool.NewSet(pool.Options{Dial: count.dial})
	defer pools.Close()
	server := engineServer(1)
	server.Address = address
	client := engine.New(server, pools)
	for i := range adapters {
		if err := client.Load(b.ctx, engine.Order{Ref: adapterRef(i), Weights: fmt.Sprint("w", i), FencingNumber: 1}); err != nil {
			return 0, 0, err
		}
	}
	return b.measureClient(client, count)
}

func (b *bench) measureClient(client *engine.Client, count *byteCounter) (cpu, bytes float64, err error) {
	scrape := func(int) {
		if _, scrapeErr := client.Scrape(context.WithoutCancel(b.ctx)); scrapeErr != nil {
			err = scrapeErr
		}
	}
	scrape(0)
	before := count.bytes.Load()
	scrape(0)
	bytes = float64(count.bytes.Load() - before)
	return b.cpuPerOp(200, scrape), bytes, err
}
