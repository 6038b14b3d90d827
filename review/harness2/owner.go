package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// socketsOf returns the local ports of the connections that the processes of the hosts have open. All processes share one
// machine, so that the address of the other end of a connection does not tell which host opened it.
func socketsOf(hosts []*host) map[int]bool {
	inodes := map[string]bool{}
	for _, h := range hosts {
		dir := fmt.Sprintf("/proc/%d/fd", h.pid())
		names, _ := os.ReadDir(dir)
		for _, n := range names {
			if link, err := os.Readlink(dir + "/" + n.Name()); err == nil && strings.HasPrefix(link, "socket:[") {
				inodes[strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]")] = true
			}
		}
	}
	ports := map[int]bool{}
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.SplitSeq(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 || !inodes[f[9]] {
			continue
		}
		_, hex, _ := strings.Cut(f[1], ":")
		if port, err := strconv.ParseInt(hex, 16, 32); err == nil {
			ports[int(port)] = true
		}
	}
	return ports
}

// cutOff partitions hosts from all servers: their connections are reset and new ones are refused. The connections of the
// other hosts live on. Since all processes share one machine, new connections of the other hosts are refused too: they must
// have enough open ones.
func (f *fleet) cutOff(hosts ...*host) {
	f.platform.refuseNew()
	for _, h := range hosts {
		f.record.logf("%s is partitioned from all servers", h.name)
	}
	f.platform.mu.Lock()
	servers := f.platform.servers
	f.platform.mu.Unlock()
	// The list of sockets changes while it is read, so that it may lack some.
	for range 5 {
		ports := socketsOf(hosts)
		for _, s := range servers {
			s.reset(func(c net.Conn) bool {
				remote, ok := c.RemoteAddr().(*net.TCPAddr)
				return ok && ports[remote.Port]
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
}
