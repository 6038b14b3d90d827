package gateway

import (
	"expvar"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/intake"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

// obstacleTime is how long an obstacle lasts after a stream broke off: longer than a request may wait that has
// missed its objective, shorter than callers wait for the next event.
const obstacleTime = 900 * time.Millisecond

// brokenStream is a fleet in which the first attempt of a stream breaks off after its objective.
type brokenStream struct {
	*harness
	brokeAt time.Time
}

// newBrokenStream has servers decline until declinedFor after the break, and then go on with the stream.
func newBrokenStream(h *harness, declinedFor time.Duration) *brokenStream {
	b := &brokenStream{harness: h}
	h.acquire = func(residency.Request) (exchange.Acquired, error) {
		return exchange.Acquired{}, fault.New(fault.KindOverloaded, "no adapter slot", "again").WithRun(fault.NotRun)
	}
	h.respond = func(n int, a Attempt) reply {
		if n == 0 {
			b.brokeAt = time.Now().Add(700 * time.Millisecond)
			return reply{status: 200, body: &body{pieces: []string{event("1"), event("2"), event("3")}, gap: 350 * time.Millisecond, end: errReset}}
		}
		if a.AfterEvent != "3" || time.Since(b.brokeAt) < declinedFor {
			return reply{status: 503, notRun: true}
		}
		return reply{status: 200, body: &body{pieces: []string{event("4")}}}
	}
	return b
}

// otherEngines calls edit for all engines but the first.
func (b *brokenStream) otherEngines(edit func(s *exchange.Server)) {
	for _, s := range b.view.ByService[llm] {
		if len(b.sent) == 0 || s.Instance != b.sent[0].instance {
			edit(s)
		}
	}
}

// loadLater has the adapter at no other engine; a load is refused with the error until the obstacle ends.
func (b *brokenStream) loadLater(refusal error) {
	b.acquire = func(residency.Request) (exchange.Acquired, error) {
		if time.Since(b.brokeAt) < obstacleTime {
			return exchange.Acquired{}, refusal
		}
		b.otherEngines(func(s *exchange.Server) { s.Residents[adapter] = exchange.Resident{Version: 1, ReadyAt: time.Now()} })
		return exchange.Acquired{}, nil
	}
	respond := b.respond
	b.respond = func(n int, a Attempt) reply {
		if n == 0 {
			b.otherEngines(func(s *exchange.Server) { delete(s.Residents, adapter) })
		}
		return respond(n, a)
	}
}

// Guards against rules for requests that may still be refused: what refuses a request early ends a stream that has begun.
func TestBegunStreamIsNotRefused(t *testing.T) {
	for name, obstacle := range map[string]func(b *brokenStream){
		"engines are full": func(b *brokenStream) {
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				b.otherEngines(func(s *exchange.Server) { s.OthersInFlight = 11 }) // 1 s
				return respond(n, a)
			}
		},
		"engines decline": func(*brokenStream) {},
		"no adapter slot": func(b *brokenStream) {
			b.loadLater(fault.New(fault.KindOverloaded, "no adapter slot", "again").WithRun(fault.NotRun))
		},
		"no leader": func(b *brokenStream) { b.loadLater(errUnavailable()) },
		"engines ask for quiet": func(b *brokenStream) {
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				if n == 0 {
					for _, s := range b.view.ByService[llm] {
						b.g.usage.server(s.Instance).gate.Observe(s.Instance, 0, intake.Statement{Quiet: 700*time.Millisecond + obstacleTime}, time.Now())
					}
				}
				return respond(n, a)
			}
		},
		"engines could not be reached": func(b *brokenStream) {
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				for _, at := range []time.Duration{-3 * time.Second, -2 * time.Second, 700 * time.Millisecond} {
					if n == 0 {
						b.otherEngines(func(s *exchange.Server) { b.g.usage.recordUnreachable(s.Instance, time.Now().Add(at)) })
					}
				}
				return respond(n, a)
			}
		},
		"engines refuse connections": func(b *brokenStream) {
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				if n > 0 && time.Since(b.brokeAt) < obstacleTime {
					return reply{err: h1.NewError(false, false, errReset)}
				}
				return respond(n, a)
			}
		},
		"far too full, and no leader for a load elsewhere": func(b *brokenStream) {
			b.loadLater(errUnavailable())
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				rep := respond(n, a)
				if n == 0 {
					for _, s := range b.view.ByService[llm] {
						if s.Instance != a.Instance {
							s.Residents[adapter], s.OthersInFlight = exchange.Resident{Version: 1, ReadyAt: time.Now()}, 400
							break
						}
					}
				}
				return rep
			}
		},
		"cheapest engine is too full": func(b *brokenStream) {
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				waits := 0
				b.otherEngines(func(s *exchange.Server) {
					if waits++; waits == 1 {
						s.OthersInFlight = 20 // 2.1 s
						return
					}
					s.OthersInFlight = 5                            // 0.25 s
					b.g.usage.server(s.Instance).failureRate = 0.99 // costs 2 s
				})
				return respond(n, a)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				declinedFor := time.Duration(0)
				if name == "engines decline" {
					declinedFor = obstacleTime
				}
				obstacle(newBrokenStream(h, declinedFor))
				c, err := h.ask("stream", func(r *Request) { r.Timeout = 6 * time.Second })
				must.NoError(t, err)
				must.False(t, c.aborted, must.Sprint("the stream was ended"))
				must.Eq(t, event("1")+event("2")+event("3")+event("4"), c.String())
			})
		})
	}
}

// Guards against the rest of a stream that a helper refuses like a request that has not begun.
func TestBegunStreamIsNotRefusedByHelper(t *testing.T) {
	for name, obstacle := range map[string]func(h *harness){
		"engines are full": func(h *harness) {
			for _, s := range h.view.ByService[llm] {
				s.OthersInFlight = 11
			}
		},
		"leader lost": func(h *harness) {
			h.view.Confirmed, h.recordErr = time.Now().Add(-2*maxRecordingViewAge), errUnavailable()
		},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				h.setBuilds("v2", "v2", "v2")
				h.setRecordedBuilds("v1", "v2")
				obstacle(h)
				h.acquire = func(residency.Request) (exchange.Acquired, error) { return exchange.Acquired{}, errUnavailable() }
				h.respond = func(int, Attempt) reply { return reply{status: 200, body: &body{pieces: []string{event("4")}}} }
				c, err := h.ask("stream", func(r *Request) {
					r.AfterEvent = "3"
					r.Handover = &Handover{
						From: "other", Remaining: 2500 * time.Millisecond, MaxRuns: 1, Begun: true, Origin: origin.Origin{Service: llm, Build: "v2"},
					}
				})
				must.NoError(t, err)
				must.Eq(t, event("4"), c.String())
			})
		})
	}
}

// Guards against a relayed stream that is ended because helpers refuse the rest of it.
func TestBegunStreamIsNotEndedByHelpers(t *testing.T) {
	for _, kind := range []fault.Kind{fault.KindOverloaded, fault.KindNoBackend, fault.KindUnavailable, fault.KindStaleView} {
		t.Run(string(kind), func(t *testing.T) {
			start(t, func(h *harness) {
				var brokeAt time.Time
				f := h.cutOff(func(n int) (*Response, error) {
					switch {
					case n == 0:
						brokeAt = time.Now()
						return relayedStream("v1", errReset, event("1"), event("2")), nil
					case time.Since(brokeAt) < obstacleTime:
						return refusal(kind, fault.NotRun), nil
					}
					return relayedStream("v1", nil, event("3")), nil
				})
				c, err := h.ask("stream", func(r *Request) { r.Timeout = 3 * time.Second })
				must.NoError(t, err)
				must.False(t, c.aborted, must.Sprint("the stream was ended"))
				must.Eq(t, event("1")+event("2")+event("3"), c.String())
				for i, s := range f.sent {
					must.Eq(t, i > 0, s.handover.Begun)
				}
			})
		})
	}
}

// Guards against a stream that is ended as the suspect of a crash when its engine, which had said that it leaves, is gone.
func TestBegunStreamIsNoSuspectAtLeavingEngine(t *testing.T) {
	for name, tc := range map[string]struct{ draining, aborted bool }{"crash": {false, true}, "leaving": {true, false}} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				h.respond = func(n int, a Attempt) reply {
					if n == 0 {
						h.view.Servers[a.Instance].Draining, h.crashed[a.Address] = tc.draining, true
						return reply{status: 200, body: &body{pieces: []string{event("1")}, end: errReset}}
					}
					return reply{status: 200, body: &body{pieces: []string{event("2")}}}
				}
				c, err := h.ask("stream", func(r *Request) { r.Parts = []PromptPart{{ID: "p", Tokens: 20}, {ID: "own", Tokens: 30}} })
				must.NoError(t, err)
				must.Eq(t, tc.aborted, c.aborted)
			})
		})
	}
}

// Guards against a relayed stream that is ended because one helper failed, or because its service leaves the catalog.
func TestBegunStreamGoesOnAtAnotherHelper(t *testing.T) {
	for name, second := range map[string]func(h *harness) (*Response, error){
		"helper may have run it": func(*harness) (*Response, error) {
			return refusal(fault.KindBackendFailed, fault.OutcomeUnknown), nil
		},
		"helper lost": func(*harness) (*Response, error) { return nil, h1.NewError(true, false, errReset) },
		"service left the catalog": func(h *harness) (*Response, error) {
			v, cat := *h.view, h.view.Catalog
			var err error
			v.Catalog, err = catalog.New(catalog.Catalog{Revision: 8, Services: cat.Services[:1], Routes: cat.Routes[:2], Teams: cat.Teams})
			must.NoError(h.t, err)
			h.view = &v
			return relayedStream("v1", nil, event("3")), nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				h.view.Catalog.Routes[2].MaxAttempts = 4
				h.cutOff(func(n int) (*Response, error) {
					switch n {
					case 0:
						return relayedStream("v1", errReset, event("1"), event("2")), nil
					case 1:
						return second(h)
					}
					return relayedStream("v1", nil, event("3")), nil
				})
				c, err := h.ask("stream", func(r *Request) { r.Timeout = 3 * time.Second })
				must.NoError(t, err)
				must.False(t, c.aborted)
				must.Eq(t, event("1")+event("2")+event("3"), c.String())
			})
		})
	}
}

// Guards against a stream that is held although it cannot go on in time, and one that floods servers that decline it.
func TestBegunStreamEndsWhenItCannotGoOn(t *testing.T) {
	for name, tc := range map[string]struct {
		obstacle func(b *brokenStream)
		within   time.Duration
		budget   float64
		arrivals int
	}{
		"no server of its build": {func(b *brokenStream) { b.setBuilds("v1", "v2", "v3") }, 0, 400, 1},
		"no engine in time": {func(b *brokenStream) {
			respond := b.respond
			b.respond = func(n int, a Attempt) reply {
				b.otherEngines(func(s *exchange.Server) { s.OthersInFlight = 400 })
				return respond(n, a)
			}
		}, 0, 400, 1},
		"declined throughout":     {func(*brokenStream) {}, 2 * time.Second, 400, 8},
		"no budget for a retry":   {func(*brokenStream) {}, 2 * time.Second, 0.1, 1},
		"the caller's time is up": {func(b *brokenStream) { b.view.Catalog.Routes[2].Timeout = time.Second }, 300 * time.Millisecond, 400, 5},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				h.g.opts.Retries.MinRate, h.g.opts.Retries.Ratio = tc.budget, tc.budget
				b := newBrokenStream(h, time.Hour)
				tc.obstacle(b)
				c, err := h.ask("stream", func(r *Request) { r.Timeout = 6 * time.Second })
				must.NoError(t, err)
				must.True(t, c.aborted)
				must.Eq(t, event("1")+event("2")+event("3"), c.String())
				must.LessEq(t, tc.within, time.Since(b.brokeAt))
				must.LessEq(t, tc.arrivals, len(h.sent))
			})
		})
	}
}

// Guards against streams that are cut when engines go, and that flood the others or take the room of new ones.
func TestBegunStreamsOutliveTheirEngines(t *testing.T) {
	const perHost = 10
	budget := retry.Options{Ratio: 0.14, MinRate: 4, MaxSaved: perHost, Reserved: perHost / 2}
	for name, tc := range map[string]struct {
		slots   int
		vacancy time.Duration // the time without a leader
		// lost is the largest part of the streams that may be cut, besides suspects of a crash.
		lost float64
		room bool // the engines that are left have room for all
	}{
		"room for all":           {slots: 30, lost: 0.01, room: true},
		"hardly room for all":    {slots: 18, lost: 0.01},
		"hardly room, no leader": {slots: 18, vacancy: 1500 * time.Millisecond, lost: 0.01},
		"no room for a fifth":    {slots: 14, lost: 1},
	} {
		t.Run(name, func(t *testing.T) {
			begun, lost := 0, 0
			for seed := range uint64(3) {
				count, suspects := playLostEngines(t, seed, tc.slots, tc.vacancy, budget)
				t.Logf("%+v", count)
				first := float64(count.tried)
				must.LessEq(t, budget.Ratio*first+budget.MinRate*10+perHost*simHosts, float64(count.arrivals)-first)
				if tc.room {
					must.Eq(t, count.asked, count.begun)
				}
				begun, lost = begun+count.begun, lost+count.cut-suspects
			}
			must.LessEq(t, tc.lost*float64(begun), float64(lost))
		})
	}
}

// playLostEngines has two of six engines crash under traffic, and returns the counts and how many streams were suspects.
func playLostEngines(t *testing.T, seed uint64, slots int, vacancy time.Duration, budget retry.Options) (simCount, int) {
	t.Helper()
	var count simCount
	suspects := 0
	playFleet(t, seed, simHosts, func(s *fleetSim) {
		s.locked(func() { s.slots = slots })
		for _, h := range s.hosts {
			h.gateway.opts.Retries = budget
		}
		s.tasks.Go(func() {
			time.Sleep(2 * time.Second)
			s.crashEngines(2)
			if vacancy > 0 {
				s.changeLeader(vacancy)
			}
		})
		var calls sync.WaitGroup
		for began := time.Now(); time.Since(began) < 6*time.Second; {
			s.pause(simRate)
			calls.Go(s.call)
		}
		calls.Wait()
		s.locked(func() { count = s.count })
		for _, h := range s.hosts {
			t.Log("cut: ", h.gateway.metrics.streamsCut)
			if n, ok := h.gateway.metrics.streamsCut.Get(string(endSuspect)).(*expvar.Int); ok {
				suspects += int(n.Value())
			}
		}
	})
	return count, suspects
}

// Guards against a begun stream that is broken off while its sound server pauses, before another one has taken it.
func TestBegunStreamOutlivesPauseOfItsServer(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			start(t, func(h *harness) {
				h.view.Catalog.Routes[2].Gap, h.view.Catalog.Routes[2].Timeout = 400*time.Millisecond, 6*time.Second
				h.respond = func(n int, _ Attempt) reply {
					if n == 0 {
						return reply{status: 200, body: &body{pieces: []string{event("1"), event("2")}, gap: pause}}
					}
					return reply{status: 503, notRun: true}
				}
				c, err := h.ask("stream", func(r *Request) { r.Timeout = 6 * time.Second })
				must.NoError(t, err)
				must.False(t, c.aborted)
				must.Eq(t, event("1")+event("2"), c.String())
				must.Len(t, 1, h.sent)
			})
		})
	}
}
