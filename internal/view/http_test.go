package view

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// Sync must work over the authenticated RPC, and errors must keep their kind. The
// other tests call the Server directly.
func TestSyncOverHTTP(t *testing.T) {
	c := newControl(t)
	p, err := peer.New(peer.Options{Cluster: "c", Secret: []byte("a secret of enough bytes")})
	must.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewConfigServiceHandler(NewServer("c", c), p.HandlerOptions()...))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := p.Server("", mux)
	go func() { _ = p.Serve(s, l) }()
	defer s.Close()
	source := apiv1connect.NewConfigServiceClient(p.HTTPClient(), "http://"+l.Addr().String(), p.ClientOptions()...)
	v := New(Options{Cluster: "c", Host: "h", Sources: []Source{source}})
	changed := v.Changed()
	go func() { _ = v.Run(t.Context()) }()
	<-changed
	must.True(t, hasKey(v))
	changed = v.Changed()
	c.put(t, &apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "k"}})
	<-changed
	must.False(t, hasKey(v))
	must.Eq(t, c.Config().Digest(), v.Config().Digest())
	_, err = source.Sync(t.Context(), &apiv1.SyncRequest{Cluster: "other"})
	must.True(t, fault.Is(err, fault.KindWrongCluster), must.Sprint(err))
}
