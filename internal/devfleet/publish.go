package devfleet

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

const (
	// publishTimeout bounds the election and the spread of the manifest.
	publishTimeout = time.Minute
	publishTry     = 5 * time.Second
	publishPause   = 50 * time.Millisecond
)

// Publish puts the manifest in force as the first change and waits until every
// entry host serves it.
func (f *Fleet) Publish(ctx context.Context, m *apiv1.Manifest) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	p, err := roles.NewPeer(Cluster, settings.Security{Secret: []byte(secretText)})
	if err != nil {
		return err
	}
	control := client.NewControl(p, f.ControlURLs(), publishTry)
	apply := func() error {
		_, err := client.Operator(ctx, control, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.ApplyResponse, error) {
			return o.Apply(ctx, &apiv1.ApplyRequest{Cluster: Cluster, Change: &apiv1.ChangeCommand{Number: 1, Manifest: m}})
		})
		return err
	}
	if err := until(ctx, apply); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := until(ctx, func() error { return healthy(ctx, e.URL) }); err != nil {
			return err
		}
	}
	return nil
}

// until repeats fn until it succeeds or the context ends.
func until(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-time.After(publishPause):
		}
	}
}

// healthy asks an entry host's health check, which fails until the first
// configuration has arrived.
func healthy(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/healthz", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answers its health check with status %d", url, resp.StatusCode)
	}
	return nil
}
