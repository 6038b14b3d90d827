// Package settings reads the settings of each program from flags and from
// environment variables with the prefix JASMINE_, and checks them at start. A
// flag goes before its variable. Errors are fault.Error values of the kind
// invalid_setting that name the flag and the remedy.
package settings

import (
	"flag"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// EnvPrefix starts the name of each environment variable.
const EnvPrefix = "JASMINE"

// minSecretBytes is the length below which a cluster secret can be guessed.
const minSecretBytes = 16

// ErrHelp is returned when the arguments asked for help, which was printed.
var ErrHelp = flag.ErrHelp

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Common holds the settings that every long-running program has.
type Common struct {
	Cluster       string
	Host          string
	FailureDomain string
	LogLevel      zerolog.Level
	Security      Security
}

// Security holds what own processes use to trust each other.
type Security struct {
	// Secret is the content of the cluster secret file.
	Secret []byte
	// CertFile, KeyFile and CAFile turn on mutual TLS between own processes.
	CertFile string
	KeyFile  string
	CAFile   string
}

// common registers the flags of Common and returns a function that checks them
// after parsing.
func common(fs *flag.FlagSet) func() (Common, error) {
	cluster := fs.String("cluster", "", "name of the fleet; every process of a fleet has the same")
	host := fs.String("host", "", "name of this host, unique in the fleet")
	domain := fs.String("failure-domain", "", "failure domain of this host")
	level := fs.String("log-level", "info", "lowest level of log lines: debug, info, warn or error")
	security := securityFlags(fs)
	return func() (Common, error) {
		c := Common{Cluster: *cluster, Host: *host, FailureDomain: *domain}
		if err := errors.Join(
			checkName("cluster", c.Cluster),
			checkName("host", c.Host),
			checkName("failure-domain", c.FailureDomain),
		); err != nil {
			return c, err
		}
		parsed, err := zerolog.ParseLevel(*level)
		if err != nil {
			return c, invalid("log-level", "set it to debug, info, warn or error", "%q is no level", *level)
		}
		c.LogLevel = parsed
		c.Security, err = security()
		return c, err
	}
}

func securityFlags(fs *flag.FlagSet) func() (Security, error) {
	secretFile := fs.String("secret-file", "", "file with the cluster secret, at least 16 bytes; needed unless TLS files are given")
	cert := fs.String("tls-cert", "", "certificate file for TLS between own processes")
	key := fs.String("tls-key", "", "key file that belongs to tls-cert")
	ca := fs.String("tls-ca", "", "file with the certificates that sign own processes' certificates")
	return func() (Security, error) {
		s := Security{CertFile: *cert, KeyFile: *key, CAFile: *ca}
		given := countSet(s.CertFile, s.KeyFile, s.CAFile)
		if given != 0 && given != 3 {
			return s, invalid("tls-cert", "set tls-cert, tls-key and tls-ca together", "only %d of 3 TLS files are set", given)
		}
		if *secretFile == "" {
			if given == 0 {
				return s, invalid("secret-file", "name a file with at least 16 random bytes, or set the TLS files", "neither a secret nor TLS files are set")
			}
			return s, nil
		}
		secret, err := readSecret(*secretFile)
		s.Secret = secret
		return s, err
	}
}

func readSecret(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidSetting, "the secret can't be read", "name a readable file").At("secret-file")
	}
	secret := []byte(strings.TrimSpace(string(content)))
	if len(secret) < minSecretBytes {
		return nil, invalid("secret-file", "write at least 16 random bytes into the file", "the secret has %d bytes", len(secret))
	}
	return secret, nil
}

func countSet(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

// parse reads flags and variables. Usage goes to out when help is asked for.
func parse(fs *flag.FlagSet, args []string, out io.Writer) error {
	fs.SetOutput(out)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ErrHelp
		}
		return fault.Wrap(err, fault.KindInvalidSetting, "the settings can't be read", "run the program with -h for the list of flags")
	}
	if fs.NArg() > 0 {
		return invalid("", "write each setting as -name value", "unexpected argument %q", fs.Arg(0))
	}
	return nil
}

func invalid(flagName, remedy, format string, args ...any) error {
	return fault.Newf(fault.KindInvalidSetting, remedy, format, args...).At(flagName)
}

func checkName(flagName, value string) error {
	if namePattern.MatchString(value) {
		return nil
	}
	if value == "" {
		return invalid(flagName, "set -"+flagName+" or "+envName(flagName), "it is not set")
	}
	return invalid(flagName, "use 1 to 63 lower-case letters, digits, '.', '_' or '-'", "%q is no name", value)
}

func envName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// checkListen accepts an address to listen on, such as 10.0.0.5:8080.
func checkListen(flagName, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return invalid(flagName, "write it as IP:PORT", "%q is no address", value)
	}
	if _, err := netip.ParseAddr(host); err != nil && host != "" {
		return invalid(flagName, "use an IP number in place of a name", "%q is no IP number", host)
	}
	return nil
}

// CheckURL accepts a base URL with an IP number, such as http://10.0.0.5:7000.
func CheckURL(field, value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Port() == "" {
		return invalid(field, "write it as http://IP:PORT or https://IP:PORT", "%q is no base URL", value)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return invalid(field, "use an IP number in place of a name", "%q is no IP number", u.Hostname())
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		return invalid(field, "leave out path, query and user", "%q is more than a base URL", value)
	}
	return nil
}

// urlList splits a comma-separated list of base URLs.
func urlList(flagName, value string) ([]string, error) {
	var out []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSuffix(strings.TrimSpace(part), "/")
		if part == "" {
			continue
		}
		if err := CheckURL(flagName, part); err != nil {
			return nil, err
		}
		out = append(out, part)
	}
	if len(out) == 0 {
		return nil, invalid(flagName, "set -"+flagName+" or "+envName(flagName), "it is not set")
	}
	return out, nil
}

func checkDuration(flagName string, value, low, high time.Duration) error {
	if value < low || value > high {
		return invalid(flagName, "set it between "+low.String()+" and "+high.String(), "%s is out of range", value)
	}
	return nil
}
