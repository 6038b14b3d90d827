package settings

import (
	"flag"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Control holds the settings of jasmine-control.
type Control struct {
	Common
	// Listen is the listen address for the fleet's processes and operators.
	Listen string
	// Advertise is the base URL under which other processes reach Listen.
	Advertise string
	DataDir   string
	// Members lists the initial members of a new cluster, including this host.
	// It is empty on a host that joins an existing cluster.
	Members []*apiv1.Member
	// PlatformURL is the URL of the platform's list of live and leaving hosts,
	// or empty if the platform has none.
	PlatformURL string
}

// ParseControl reads the settings of jasmine-control and prints requested help
// to out.
func ParseControl(args []string, out io.Writer) (Control, error) {
	fs := flag.NewFlagSet("jasmine-control", flag.ContinueOnError)
	readCommon := common(fs)
	var c Control
	fs.StringVar(&c.Listen, "listen", ":7000", "address for own processes and operators as IP:PORT")
	fs.StringVar(&c.Advertise, "advertise", "", "base URL under which other processes reach listen")
	fs.StringVar(&c.DataDir, "data-dir", "", "data folder, on a disk that lasts")
	fs.StringVar(&c.PlatformURL, "platform-url", "", "URL of the platform's list of live and leaving hosts")
	members := fs.String("members", "", "first members of a new cluster as HOST=URL@FAILURE-DOMAIN, separated by commas; leave empty on a host that joins later")
	if err := parse(fs, args, out); err != nil {
		return c, err
	}
	var errCommon, errMembers error
	c.Common, errCommon = readCommon()
	c.Members, errMembers = ParseMembers("members", *members)
	return c, errors.Join(errCommon, errMembers, c.check())
}

func (c *Control) check() error {
	var errDir, errMembers error
	if c.DataDir == "" {
		errDir = invalid("data-dir", "set -data-dir or "+envName("data-dir"), "it is not set")
	}
	if len(c.Members) > 0 && !c.listsSelf() {
		errMembers = invalid("members", "add this host with its advertised URL", "host %q with URL %q is not among them", c.Host, c.Advertise)
	}
	return errors.Join(
		checkListen("listen", c.Listen),
		CheckURL("advertise", c.Advertise),
		errDir,
		errMembers,
	)
}

func (c *Control) listsSelf() bool {
	for _, m := range c.Members {
		if m.GetHost() == c.Host && m.GetAddress() == c.Advertise {
			return true
		}
	}
	return false
}

// ParseMembers parses a comma-separated list of members, each written as
// HOST=URL@FAILURE-DOMAIN.
func ParseMembers(field, text string) ([]*apiv1.Member, error) {
	var out []*apiv1.Member
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		m, err := parseMember(field, part)
		if err != nil {
			return nil, err
		}
		if seen[m.GetHost()] {
			return nil, invalid(field, "name each host once", "host %q is named twice", m.GetHost())
		}
		seen[m.GetHost()] = true
		out = append(out, m)
	}
	return out, nil
}

func parseMember(field, text string) (*apiv1.Member, error) {
	host, rest, ok := strings.Cut(text, "=")
	address, domain, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 {
		return nil, invalid(field, "write it as HOST=URL@FAILURE-DOMAIN", "%q is not a member", text)
	}
	err := errors.Join(checkName(field, host), CheckURL(field, address), checkName(field, domain))
	return &apiv1.Member{Host: host, Address: address, FailureDomain: domain, Voter: true}, err
}
