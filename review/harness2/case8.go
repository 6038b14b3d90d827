package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of callers that stop short of the end of their bodies, all at one host. It may have 4,100
	// descriptors.
	crowdSize = 2300
	// headFields is the number of fields of each of their heads, which stay below max_header_bytes.
	headFields = 1200
	// maxHeaderBytes is the limit of the desired state.
	maxHeaderBytes = 16384
	// crowdBodyBytes and crowdChunkBytes are the sizes of the bodies and of their chunks.
	crowdBodyBytes  = 30000
	crowdChunkBytes = 50
)

// crowdedHeads has many callers send requests whose heads and chunked bodies are within the limits, and stop just short of
// the ends of the bodies.
func crowdedHeads(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range 3 {
		if _, err := f.platform.addServer(i, "registro", func(_ *server, c net.Conn, r *request) bool {
			time.Sleep(20 * time.Millisecond)
			return success(c, r, "ok")
		}); err != nil {
			return false, err
		}
	}
	if err := f.startAll(plainDocument(7)); err != nil {
		return false, err
	}
	target := f.entries()[0]
	var broken atomic.Bool
	endWatch := watchMemory(rec, f.entries(), &broken)
	endOrdinary := ordinaryCallers(rec, target, "/reserva/x")
	time.Sleep(time.Second)
	var crowd []net.Conn
	if trouble {
		crowd = openCrowd(rec, target)
	}
	time.Sleep(4 * time.Second)
	endOrdinary()
	endWatch()
	for _, c := range crowd {
		_ = c.Close()
	}
	return broken.Load(), nil
}

// openCrowd opens the connections of the crowd, each with a request whose last chunk is missing.
func openCrowd(rec *record, target *host) []net.Conn {
	var head, body strings.Builder
	fmt.Fprint(&head, "POST /reserva/x HTTP/1.1\r\nHost: fair.example\r\nCredential: "+apiKey+"\r\nDeadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n")
	for i := range headFields {
		fmt.Fprintf(&head, "F-%04d: vv\r\n", i)
	}
	for n := 0; n < crowdBodyBytes; n += crowdChunkBytes {
		fmt.Fprintf(&body, "%x\r\n%s\r\n", crowdChunkBytes, strings.Repeat("b", crowdChunkBytes))
	}
	rec.logf("each of %d callers sends a head of about %d bytes (limit %d) with %d fields, and %d bytes of a chunked body without its end",
		crowdSize, head.Len()+30, maxHeaderBytes, headFields, crowdBodyBytes)
	var conns []net.Conn
	for i := range crowdSize {
		c, err := dialHost(target)
		if err != nil {
			rec.logf("connection %d: %v", i, err)
			break
		}
		conns = append(conns, c)
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = fmt.Fprintf(c, "%sAttempt-Id: crowd-%d\r\n\r\n%s", head.String(), i, body.String())
	}
	rec.logf("%d connections are open", len(conns))
	return conns
}
