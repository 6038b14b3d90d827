package settings

import (
	"flag"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Entry holds the settings of jasmine-entry.
type Entry struct {
	Common
	// Listen is the caller-facing address.
	Listen string
	// InternalListen is the listen address for the fleet's processes and
	// operators: Sync, explain and metrics.
	InternalListen string
	// Advertise is the base URL under which other processes reach InternalListen.
	Advertise string
	// Control lists the base URLs of the control hosts.
	Control []string
	// SyncFrom lists the base URLs from which the configuration is read, in
	// order of preference. It defaults to the control hosts.
	SyncFrom []string
	// BalancerDelay is how long a draining host still accepts requests after
	// its health check fails, so that the load balancer can remove it first.
	BalancerDelay time.Duration
	// StopTimeout bounds a planned stop. Requests that still run when it expires
	// are logged and aborted.
	StopTimeout time.Duration
	// PublicCertFile and PublicKeyFile enable TLS for callers.
	PublicCertFile string
	PublicKeyFile  string
}

// ParseEntry reads the settings of jasmine-entry and prints requested help to
// out.
func ParseEntry(args []string, out io.Writer) (Entry, error) {
	fs := flag.NewFlagSet("jasmine-entry", flag.ContinueOnError)
	readCommon := common(fs)
	var e Entry
	fs.StringVar(&e.Listen, "listen", ":8080", "caller-facing address as IP:PORT")
	fs.StringVar(&e.InternalListen, "internal-listen", ":7080", "address for own processes as IP:PORT")
	fs.StringVar(&e.Advertise, "advertise", "", "base URL under which own processes reach internal-listen")
	control := fs.String("control", "", "base URLs of the control hosts, separated by commas")
	syncFrom := fs.String("sync-from", "", "base URLs to read the configuration from; the control hosts unless set")
	fs.DurationVar(&e.BalancerDelay, "balancer-delay", 5*time.Second, "time between failing the health check and refusing new requests")
	fs.DurationVar(&e.StopTimeout, "stop-timeout", 10*time.Minute, "bound on a planned stop")
	fs.StringVar(&e.PublicCertFile, "public-tls-cert", "", "certificate file for TLS towards callers")
	fs.StringVar(&e.PublicKeyFile, "public-tls-key", "", "key file that belongs to public-tls-cert")
	if err := parse(fs, args, out); err != nil {
		return e, err
	}
	var errCommon, errControl, errSync error
	e.Common, errCommon = readCommon()
	e.Control, errControl = urlList("control", *control)
	e.SyncFrom = e.Control
	if *syncFrom != "" {
		e.SyncFrom, errSync = urlList("sync-from", *syncFrom)
	}
	return e, errors.Join(errCommon, errControl, errSync, e.check())
}

func (e *Entry) check() error {
	var errTLS error
	if n := countSet(e.PublicCertFile, e.PublicKeyFile); n == 1 {
		errTLS = invalid("public-tls-cert", "set public-tls-cert and public-tls-key together", "only one of them is set")
	}
	return errors.Join(
		checkListen("listen", e.Listen),
		checkListen("internal-listen", e.InternalListen),
		CheckURL("advertise", e.Advertise),
		checkDuration("balancer-delay", e.BalancerDelay, time.Millisecond, time.Minute),
		checkDuration("stop-timeout", e.StopTimeout, time.Second, time.Hour),
		errTLS,
	)
}
