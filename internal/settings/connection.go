package settings

import (
	"flag"
)

// Connection holds the settings with which jasminectl connects to a fleet.
type Connection struct {
	Cluster  string
	control  string
	security func() (Security, error)
}

// Flags registers the connection's flags.
func (c *Connection) Flags(fs *flag.FlagSet) {
	fs.StringVar(&c.Cluster, "cluster", "", "name of the fleet")
	fs.StringVar(&c.control, "control", "", "base URLs of the control hosts, separated by commas")
	c.security = securityFlags(fs)
}

// Check validates the parsed flags and returns the base URLs of the control
// hosts and the security settings.
func (c *Connection) Check() ([]string, Security, error) {
	if err := checkName("cluster", c.Cluster); err != nil {
		return nil, Security{}, err
	}
	urls, err := urlList("control", c.control)
	if err != nil {
		return nil, Security{}, err
	}
	s, err := c.security()
	return urls, s, err
}
