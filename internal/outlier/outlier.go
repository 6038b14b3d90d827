// Package outlier temporarily ejects backend servers that fail repeatedly from
// the candidates of a pool.
package outlier

import "time"

// Options determine when a backend server is ejected and for how long.
type Options struct {
	// Failures is the number of consecutive failures that ejects a backend
	// server.
	Failures int
	// Base is the duration of the first ejection; it doubles with each further
	// ejection without a success in between, up to Max.
	Base, Max time.Duration
}

// Defaults returns the default options: five consecutive failures eject a
// backend server for 5 s, doubling up to 60 s.
func Defaults() Options {
	return Options{Failures: 5, Base: 5 * time.Second, Max: time.Minute}
}

type record struct {
	pool      string
	failures  int
	ejections int
	until     time.Time
}

// Detector tracks the failures of backend servers. It is not safe for
// concurrent use; its owner's lock guards it.
type Detector struct {
	opts    Options
	servers map[string]*record
	ejected map[string]int // per pool
}

// NewDetector returns a detector without ejections.
func NewDetector(opts Options) *Detector {
	return &Detector{opts: opts, servers: map[string]*record{}, ejected: map[string]int{}}
}

// Success resets the consecutive failures of a backend server and ends its
// ejection.
func (d *Detector) Success(server string) {
	r := d.servers[server]
	if r == nil {
		return
	}
	d.release(r)
	delete(d.servers, server)
}

// Failure counts a failure and reports whether it ejected the backend server.
// At most a third of the poolSize servers of a pool are ejected at once:
// beyond that the fault is more likely in the host's own network, and the
// remaining servers could not carry the load.
func (d *Detector) Failure(server, pool string, poolSize int, now time.Time) bool {
	r := d.servers[server]
	if r == nil {
		r = &record{pool: pool}
		d.servers[server] = r
	}
	d.expire(r, now)
	r.failures++
	if r.failures < d.opts.Failures || !r.until.IsZero() {
		return false
	}
	if 3*(d.Ejections(pool, now)+1) > poolSize {
		return false
	}
	r.until = now.Add(min(d.opts.Base<<min(r.ejections, 10), d.opts.Max))
	r.ejections++
	r.failures = 0
	d.ejected[r.pool]++
	return true
}

// Ejected reports whether a backend server is ejected at now.
func (d *Detector) Ejected(server string, now time.Time) bool {
	r := d.servers[server]
	if r == nil || r.until.IsZero() {
		return false
	}
	d.expire(r, now)
	return !r.until.IsZero()
}

// Ejections returns the number of ejected backend servers of a pool.
func (d *Detector) Ejections(pool string, now time.Time) int {
	if d.ejected[pool] == 0 {
		return 0
	}
	for _, r := range d.servers {
		if r.pool == pool {
			d.expire(r, now)
		}
	}
	return d.ejected[pool]
}

// Forget drops a backend server that was removed from the configuration.
func (d *Detector) Forget(server string) {
	d.Success(server)
}

func (d *Detector) expire(r *record, now time.Time) {
	if !r.until.IsZero() && !now.Before(r.until) {
		d.release(r)
	}
}

func (d *Detector) release(r *record) {
	if r.until.IsZero() {
		return
	}
	r.until = time.Time{}
	if d.ejected[r.pool]--; d.ejected[r.pool] == 0 {
		delete(d.ejected, r.pool)
	}
}
