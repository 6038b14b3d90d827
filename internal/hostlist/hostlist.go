// Package hostlist reads the platform's list of live and leaving hosts. The list
// lags, so it is used only to learn which hosts of backend servers are leaving:
// scrapes and heartbeats decide which are live.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const (
	// maxListBytes is the maximum size of a response. 10,000 hosts of about 100 bytes
	// need about 1 MB.
	maxListBytes = 8 << 20
	// requestTimeout limits one request, so that a silent connection delays only one
	// poll.
	requestTimeout = 2 * time.Second
)

// State of a host in the list.
type State string

// States of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// List is the platform's list of hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Leaving returns the sorted names of the hosts that are leaving.
func (l List) Leaving() []string {
	var out []string
	for _, h := range l.Hosts {
		if h.State == StateLeaving {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Client reads the list by HTTP GET.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the list at the URL.
func NewClient(url string, transport http.RoundTripper) *Client {
	return &Client{url: url, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Fetch returns the current list.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, fault.Wrap(err, fault.KindInvalidSetting, "the URL of the platform's list is invalid", "set platform-url to an HTTP URL").At("platform-url")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrap(err, "read the platform's list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fault.Newf(fault.KindUnavailable, "check platform-url", "the platform's list responded with status %d", resp.StatusCode)
	}
	return Decode(resp.Body)
}

// Decode reads and validates a list.
func Decode(r io.Reader) (List, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err != nil {
		return List{}, errors.Wrap(err, "read the platform's list")
	}
	if len(data) > maxListBytes {
		return List{}, fault.Newf(fault.KindInvalidMessage, "check platform-url", "the platform's list is larger than %d bytes", maxListBytes)
	}
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return List{}, fault.Wrap(err, fault.KindInvalidMessage, "the platform's list is not the expected JSON", "check platform-url")
	}
	for i, h := range l.Hosts {
		if h.Name == "" || (h.State != StateLive && h.State != StateLeaving) {
			return List{}, fault.Newf(fault.KindInvalidMessage, "each host needs a name and the state live or leaving",
				"entry %d has the name %q and the state %q", i, h.Name, h.State).At("hosts")
		}
	}
	return l, nil
}
