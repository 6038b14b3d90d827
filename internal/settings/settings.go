// Package settings reads the settings of each program from flags and from
// environment variables with the prefix JASMINE_, and validates them at start.
// A flag takes precedence over its variable. Errors are fault.Error values of
// the kind invalid_setting that name the flag and the remedy.
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

// EnvPrefix is the prefix of each environment variable, without the underscore.
const EnvPrefix = "JASMINE"

// minSecretBytes is the minimum length of a cluster secret; shorter ones can be
// guessed.
const minSecretBytes = 16

// ErrHelp is returned after help was requested and printed.
var ErrHelp = flag.ErrHelp

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Common holds the settings shared by all long-running programs.
type Common struct {
	Cluster       string
	Host          string
	FailureDomain string
	LogLevel      zerolog.Level
	Security      Security
}

// Security holds the credentials by which the fleet's processes authenticate
// each other.
type Security struct {
	// Secret is the content of the cluster secret file.
	Secret []byte
	// CertFile, KeyFile and CAFile enable mutual TLS between the fleet's processes.
	CertFile string
	KeyFile  string
	CAFile   string
}

// common registers the flags of Common and returns a function that validates
// their values after parsing.
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
			return c, invalid("log-level", "set it to debug, info, warn or error", "%q is not a log level", *level)
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
		tlsFiles := countSet(s.CertFile, s.KeyFile, s.CAFile)
		if tlsFiles != 0 && tlsFiles != 3 {
			return s, invalid("tls-cert", "set tls-cert, tls-key and tls-ca together", "only %d of 3 TLS files are set", tlsFiles)
		}
		if *secretFile == "" {
			if tlsFiles == 0 {
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

// parse reads flags and environment variables. It prints the usage to out when
// help is requested.
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
	if validName.MatchString(value) {
		return nil
	}
	if value == "" {
		return invalid(flagName, "set -"+flagName+" or "+envName(flagName), "it is not set")
	}
	return invalid(flagName, "use 1 to 63 lower-case letters, digits, '.', '_' or '-'", "%q is not a valid name", value)
}

func envName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// checkListen validates a listen address such as 10.0.0.5:8080. The IP address
// may be empty.
func checkListen(flagName, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return invalid(flagName, "write it as IP:PORT", "%q is not an address", value)
	}
	if _, err := netip.ParseAddr(host); err != nil && host != "" {
		return invalid(flagName, "use an IP address in place of a host name", "%q is not an IP address", host)
	}
	return nil
}

// CheckURL validates a base URL with an IP address and a port, such as
// http://10.0.0.5:7000.
func CheckURL(field, value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Port() == "" {
		return invalid(field, "write it as http://IP:PORT or https://IP:PORT", "%q is not a base URL", value)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return invalid(field, "use an IP address in place of a host name", "%q is not an IP address", u.Hostname())
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		return invalid(field, "remove the path, query and user", "%q has more parts than a base URL", value)
	}
	return nil
}

// urlList parses a comma-separated list of base URLs, without trailing slashes.
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
