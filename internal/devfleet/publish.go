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
	// publishTimeout covers the election of a leader and the distribution of the
	// manifest to all entry hosts.
	publishTimeout        = time.Minute
	publishAttemptTimeout = 5 * time.Second
	publishRetryDelay     = 50 * time.Millisecond
)

// Publish applies the manifest as the first change and waits until every entry
// host has received it.
func (f *Fleet) Publish(ctx context.Context, m *apiv1.Manifest) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	p, err := roles.NewPeer(Cluster, settings.Security{Secret: []byte(secretText)})
	if err != nil {
		return err
	}
	control := client.NewControl(p, f.ControlURLs(), publishAttemptTimeout)
	apply := func() error {
		_, err := client.Operator(ctx, control, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.ApplyResponse, error) {
			return o.Apply(ctx, &apiv1.ApplyRequest{Cluster: Cluster, Change: &apiv1.ChangeCommand{Number: 1, Manifest: m}})
		})
		return err
	}
	if err := retry(ctx, apply); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := retry(ctx, func() error { return checkHealth(ctx, e.URL) }); err != nil {
			return err
		}
	}
	return nil
}

// retry calls fn until it succeeds or ctx ends.
func retry(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-time.After(publishRetryDelay):
		}
	}
}

// checkHealth queries an entry host's health check, which fails until the host has
// received its first configuration.
func checkHealth(ctx context.Context, url string) error {
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
		return errors.Newf("health check of %s returned status %d", url, resp.StatusCode)
	}
	return nil
}
