package settings

import (
	"flag"
)

// Connection holds what the operator's command needs to reach a fleet.
type Connection struct {
	Cluster  string
	control  string
	security func() (Security, error)
}

// Flags registers the flags of the connection.
func (c *Connection) Flags(fs *flag.FlagSet) {
	fs.StringVar(&c.Cluster, "cluster", "", "name of the fleet")
	fs.StringVar(&c.control, "control", "", "base URLs of the control hosts, separated by commas")
	c.security = securityFlags(fs)
}

// Check returns the control hosts and the security settings.
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
