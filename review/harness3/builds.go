package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents = 30
	streamPause  = 100 * time.Millisecond
	streamBudget = 9 * time.Second
	// callerPause is how long the most patient caller waits before it takes a stream up, and pauseStep by how much one of them
	// differs from the next.
	callerPause = 950 * time.Millisecond
	pauseStep   = 50 * time.Millisecond
	// streamTries is how often a caller tries, the first time included.
	streamTries = 5
)

// stream answers with events, after the last one that the caller has.
func (b *backend) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	id, build := b.who()
	w.Header().Set("Server-Seal", "3e1b.07."+r.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(streamPause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, build, id); err != nil || control.Flush() != nil {
			return
		}
	}
}

// piece is one event that a caller got.
type piece struct {
	id            int
	build, server string
}

// try sends one attempt of a stream, and returns the events, the status, when to come back, and whether the stream is complete.
func (f *fleet) try(m *machine, attempt, resumes string, last int, left time.Duration) (got []piece, status int, retryAfter time.Duration, complete bool) {
	c := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addr(m.ip, f.front)+"/stream/x", strings.NewReader("prompt"))
	if err != nil {
		return nil, 0, 0, false
	}
	req.Host = callerHost
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Credential", callerKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	if last > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(last))
		req.Header.Set("Resumes", resumes)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, 0, 0, false
	}
	defer resp.Body.Close()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		f.rec.printf("attempt %s: %d, Retry-After %s, %.140s", attempt, resp.StatusCode, retryAfter, data)
		return nil, resp.StatusCode, retryAfter, false
	}
	scanner := bufio.NewScanner(resp.Body)
	p := piece{}
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			p.id, _ = strconv.Atoi(id)
		} else if data, ok := strings.CutPrefix(line, "data: "); ok {
			p.build, p.server, _ = strings.Cut(data, " ")
		} else if line == "" && p.id > 0 {
			got = append(got, p)
			p = piece{}
		}
	}
	return got, resp.StatusCode, 0, scanner.Err() == nil
}

// follow has a caller ask for a stream, and take it up when its channel breaks.
func (f *fleet) follow(fronts []*machine, n int) []piece {
	began := time.Now()
	var all []piece
	first := ""
	for try := range streamTries {
		m, attempt := fronts[(n+try)%len(fronts)], nextID()
		left := streamBudget - time.Since(began)
		if left < 200*time.Millisecond {
			break
		}
		last := 0
		if len(all) > 0 {
			last = all[len(all)-1].id
		}
		got, status, retryAfter, complete := f.try(m, attempt, first, last, left)
		if len(all) == 0 && len(got) > 0 {
			first = attempt
		}
		all = append(all, got...)
		if try > 0 || !complete {
			f.rec.printf("stream %d, try %d at %s after event %d: status %d, events %s, complete: %v", n, try+1, m.name, last, status, describe(got), complete)
		}
		if complete {
			break
		}
		// It comes back no sooner than it is told.
		pause := callerPause - time.Duration(n%10)*pauseStep
		time.Sleep(max(pause, min(retryAfter, (streamBudget-time.Since(began))/3)))
	}
	return all
}

// describe names the events of an answer, with who sent them.
func describe(got []piece) string {
	if len(got) == 0 {
		return "none"
	}
	a, b := got[0], got[len(got)-1]
	return fmt.Sprintf("%d (%s %s) to %d (%s %s)", a.id, a.build, a.server, b.id, b.build, b.server)
}

// builds has a server with the last old version of the software of its service crash, and come back under its id with the new
// version that the others run already.
func builds(rec *record, trouble bool) (result, error) {
	const (
		length = 24 * time.Second
		crash  = 12 * time.Second
		down   = 2 * time.Second
	)
	f, fronts, servers, err := formed(rec, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return result{}, err
	}
	old := servers[0]
	for _, b := range servers[1:] {
		b.setBuild("v2")
	}
	rec.printf("%s runs v1, the other servers run v2", old.id)
	doc := plainDocument(8)
	doc.Routes = append(doc.Routes, route{
		Name: "r-stream", Host: callerHost, PathPrefix: "/stream/", Kind: "streaming", TimeoutMS: 9000, TargetLatencyMS: 600, Service: plainName,
		MaxAttempts: 2, Resumable: true, GapAimMS: 400,
	})
	if status := newOperator(f).put(doc, 10*time.Second); status != http.StatusOK {
		return result{}, fmt.Errorf("%w: the desired state got %d", errCannotRun, status)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	if trouble {
		time.AfterFunc(crash, func() {
			rec.printf("%s crashes; it comes back under its id with v2 after %s", old.id, down)
			old.crashAs(down, old.id, "v2")
		})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked, whole, joined, faulty := 0, 0, 0, 0
	for n := 0; time.Since(began) < length; n++ {
		wg.Go(func() {
			all := f.follow(fronts, n)
			builds, inOrder := map[string]bool{}, true
			for i, p := range all {
				builds[p.build] = true
				inOrder = inOrder && p.id == i+1
			}
			mu.Lock()
			defer mu.Unlock()
			asked++
			if len(all) == streamEvents && inOrder {
				whole++
			}
			if !inOrder {
				faulty++
			}
			if len(builds) > 1 {
				joined++
				rec.printf("stream %d holds events of two versions", n)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return result{broken: joined > 2, what: fmt.Sprintf("%d of %d streams hold events of two software versions (more than 2 break the rule); %d whole, %d out of order",
		joined, asked, whole, faulty)}, nil
}
