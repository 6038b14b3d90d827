package capacity

import (
	"context"
	"net"
	"sync/atomic"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// byteCounter counts the bytes of its connections in both directions.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: c}, nil
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// fixedReporter is a FleetService that returns the same response to every Report.
type fixedReporter struct {
	response *apiv1.ReportResponse
}

func (r *fixedReporter) Report(context.Context, *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	return r.response, nil
}

// measureWire measures the cost of one RPC between processes of the cluster: the
// bytes on the connection and the processor time of both ends, with the cluster
// secret and without TLS.
func (b *bench) measureWire() error {
	count := &byteCounter{}
	p, err := peer.New(peer.Options{Cluster: cluster, Secret: make([]byte, 32), Dial: count.dial})
	if err != nil {
		return err
	}
	fleetServer := &fixedReporter{response: &apiv1.ReportResponse{}}
	_, handler := apiv1connect.NewFleetServiceHandler(fleetServer, p.HandlerOptions()...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := p.Server("", handler)
	go func() { _ = p.Serve(server, l) }()
	defer server.Close()
	client := apiv1connect.NewFleetServiceClient(p.HTTPClient(), "http://"+l.Addr().String(), p.ClientOptions()...)
	return b.measureRPCs(client, fleetServer, count)
}

// measureRPCs measures small messages and, separately, messages that are large
// enough to be compressed.
func (b *bench) measureRPCs(client apiv1connect.FleetServiceClient, fleetServer *fixedReporter, count *byteCounter) error {
	small, large, opsPerRound := []int{0, 10, 20, 40, 60}, []int{1000, 2000, 3000, 4000}, 400
	if b.quick {
		large = []int{100, 200, 300, 400}
	}
	if err := b.measureRPCSlopes("call", "call", small, opsPerRound, client, fleetServer, count); err != nil {
		return err
	}
	return b.measureRPCSlopes("call.large", "call with a compressed answer", large, opsPerRound/10, client, fleetServer, count)
}

func (b *bench) measureRPCSlopes(id, description string, engines []int, opsPerRound int, client apiv1connect.FleetServiceClient, fleetServer *fixedReporter, count *byteCounter) error {
	req := &apiv1.ReportRequest{Cluster: cluster, Host: hostName(1)}
	var sendErr error
	sendReport := func(int) {
		if _, err := client.Report(b.ctx, req); err != nil {
			sendErr = err
		}
	}
	var sizes, cpu []Point
	for _, n := range engines {
		fleetServer.response = &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Engines: loadStatuses(n)}
		size := float64(len(encode(fleetServer.response)) + len(encode(req)))
		const warmUp, counted = 10, 20 // the first calls fill the HPACK header tables
		for range warmUp {
			sendReport(0)
		}
		before := count.bytes.Load()
		for range counted {
			sendReport(0)
		}
		sizes = append(sizes, Point{X: size, Y: float64(count.bytes.Load()-before) / counted})
		cpu = append(cpu, Point{X: size, Y: b.cpuPerOp(opsPerRound, sendReport)})
	}
	b.slopes = append(b.slopes,
		Fit(id+".bytes", "bytes on the connection per "+description, "message bytes", "bytes", sizes),
		Fit(id+".cpu", "processor time per "+description+", both ends", "message bytes", "s", cpu))
	return sendErr
}
