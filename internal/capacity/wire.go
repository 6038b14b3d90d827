package capacity

import (
	"context"
	"net"
	"sync/atomic"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// counters count the bytes of connections in both directions.
type counters struct{ bytes atomic.Int64 }

func (c *counters) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, c: c}, nil
}

type countedConn struct {
	net.Conn
	c *counters
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.c.bytes.Add(int64(n))
	return n, err
}

// reporter answers every report with a prepared answer.
type reporter struct {
	answer *apiv1.ReportResponse
}

func (r *reporter) Report(context.Context, *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	return r.answer, nil
}

// measureWire counts what one call between own processes costs beyond its
// message: the bytes on the connection and the processor time of both ends,
// with the cluster secret and without TLS.
func (b *bench) measureWire() error {
	count := &counters{}
	p, err := peer.New(peer.Options{Cluster: cluster, Secret: make([]byte, 32), Dial: count.dial})
	if err != nil {
		return err
	}
	rep := &reporter{answer: &apiv1.ReportResponse{}}
	_, handler := apiv1connect.NewFleetServiceHandler(rep, p.HandlerOptions()...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := p.Server("", handler)
	go func() { _ = p.Serve(server, l) }()
	defer server.Close()
	client := apiv1connect.NewFleetServiceClient(p.HTTPClient(), "http://"+l.Addr().String(), p.ClientOptions()...)
	return b.callSizes(client, rep, count)
}

// callSizes measures small messages and, apart from them, messages that are
// long enough to be compressed.
func (b *bench) callSizes(client apiv1connect.FleetServiceClient, rep *reporter, count *counters) error {
	small, large, calls := []int{0, 10, 20, 40, 60}, []int{1000, 2000, 3000, 4000}, 400
	if b.quick {
		large = []int{100, 200, 300, 400}
	}
	if err := b.callSlopes("call", "call", small, calls, client, rep, count); err != nil {
		return err
	}
	return b.callSlopes("call.large", "call with a compressed answer", large, calls/10, client, rep, count)
}

func (b *bench) callSlopes(id, what string, engines []int, calls int, client apiv1connect.FleetServiceClient, rep *reporter, count *counters) error {
	req := &apiv1.ReportRequest{Cluster: cluster, Host: hostName(1)}
	var failed error
	call := func(int) {
		if _, err := client.Report(b.ctx, req); err != nil {
			failed = err
		}
	}
	var sizes, cpu []Point
	for _, n := range engines {
		rep.answer = &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Engines: loads(n)}
		size := float64(len(encode(rep.answer)) + len(encode(req)))
		const warmUp, counted = 10, 20 // the first calls fill the header tables
		for range warmUp {
			call(0)
		}
		before := count.bytes.Load()
		for range counted {
			call(0)
		}
		sizes = append(sizes, Point{X: size, Y: float64(count.bytes.Load()-before) / counted})
		cpu = append(cpu, Point{X: size, Y: b.perOp(calls, call)})
	}
	b.slopes = append(b.slopes,
		Fit(id+".bytes", "bytes on the connection per "+what, "message bytes", "bytes", sizes),
		Fit(id+".cpu", "processor time per "+what+", both ends", "message bytes", "s", cpu))
	return failed
}
