package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// entry is one backend server in the platform's list.
type entry struct {
	ID      string       `json:"id"`
	Service string       `json:"service"`
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Version string       `json:"version"`
	Slots   int          `json:"slots"`
	State   string       `json:"state"`
	ColdMS  int          `json:"cold_left_ms"`
	Born    int64        `json:"born"`
	Stage   string       `json:"stage,omitempty"`
	Models  []modelState `json:"models,omitempty"`
}

type modelState struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// list is the platform's list of backend servers.
type list struct {
	rec *record

	mu      sync.Mutex
	entries []entry
	// odd is what another writer left, before the entry with the index oddAt; empty for nothing.
	odd   string
	oddAt int
}

// leave leaves bytes of another writer before the entry with the index.
func (l *list) leave(odd string, at int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.odd, l.oddAt = odd, at
}

func newList(rec *record) *list { return &list{rec: rec} }

func (l *list) add(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

// setModels sets what a server holds.
func (l *list) setModels(id string, models []modelState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].ID == id {
			l.entries[i].Models = models
		}
	}
}

// restarted replaces the entry of a server that has started again.
func (l *list) restarted(old, id string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].ID == old {
			l.entries[i].ID, l.entries[i].Born = id, born
		}
	}
}

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var parts []string
	for i, e := range l.entries {
		if l.odd != "" && i == l.oddAt {
			parts = append(parts, l.odd)
		}
		text, err := json.Marshal(e)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		parts = append(parts, string(text))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"instances":[`+strings.Join(parts, ",")+`],"next":null}`)
}

// operator sends desired states.
type operator struct {
	f *fleet
}

var errRefused = errors.New("the desired state was refused")

// replace sends a desired state until it is acknowledged.
func (o operator) replace(ctx context.Context, state map[string]any) error {
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	o.f.rec.add("operator: sends version %v", state["version"])
	for n := 0; ; n++ {
		m := o.f.cores[n%len(o.f.cores)]
		status, _, err := o.call(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/Config.Replace", m.ip, controlPort), body)
		switch {
		case err == nil && status == http.StatusOK:
			o.f.rec.add("operator: version %v is acknowledged", state["version"])
			return nil
		case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
			return fmt.Errorf("%w with status %d", errRefused, status)
		}
		if err := sleep(ctx, min(time.Duration(100<<min(n, 4))*time.Millisecond, time.Second)); err != nil {
			return err
		}
	}
}

// call makes one call, and follows a redirection twice.
func (o operator) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 3 {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		if len(body) > 0 {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, nil, err
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, data, nil
		}
		url = resp.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, nil, nil
}

// leader returns the core machine that answers a read of the desired state itself.
func (o operator) leader(ctx context.Context) (*machine, error) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for ctx.Err() == nil {
		for _, m := range o.f.cores {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/Config.Get", m.ip, controlPort))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return m, nil
			}
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}
