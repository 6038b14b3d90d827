package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{cert, key}
}

// write creates a certificate and writes its files to the directory. Their
// modification time depends on the serial number, so that a replacement is
// detected.
func (a *authority) write(t *testing.T, dir string, serial int64) *TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	files := &TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		must.NoError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
		at := time.Unix(1_700_000_000+serial, 0)
		must.NoError(t, os.Chtimes(name, at, at))
	}
	return files
}

// With TLS, only processes with a certificate of the cluster's authority may call.
// A replaced authority must take effect without a restart, on open connections
// too, and an incomplete replacement of the files must not break connections.
func TestMutualTLS(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	serverDir, clientDir, otherDir := t.TempDir(), t.TempDir(), t.TempDir()
	server := newPeer(t, Options{Cluster: "c", TLS: first.write(t, serverDir, 1)})
	clientPeer := newPeer(t, Options{Cluster: "c", TLS: first.write(t, clientDir, 1)})
	otherPeer := newPeer(t, Options{Cluster: "c", TLS: second.write(t, otherDir, 1)})
	url := serve(t, server, echo)
	call := func(p *Peer) error {
		// A new transport makes the running process open a new connection.
		p.client.Transport.(*signer).base = p.transport(nil)
		_, err := client(p, url).Sync(t.Context(), &apiv1.SyncRequest{})
		return err
	}
	must.NoError(t, call(clientPeer))
	must.NoError(t, call(clientPeer))
	must.True(t, fault.Is(call(otherPeer), fault.KindUntrustedPeer))
	openClient := client(clientPeer, url)
	_, err := openClient.Sync(t.Context(), &apiv1.SyncRequest{})
	must.NoError(t, err)
	must.Eq(t, fault.KindWrongCluster, fault.KindOf(call(newPeer(t, Options{Cluster: "d", TLS: clientPeer.certs.ptr()}))))
	second.write(t, serverDir, 2)
	_, err = openClient.Sync(t.Context(), &apiv1.SyncRequest{})
	must.Eq(t, fault.KindUntrustedPeer, fault.KindOf(err), must.Sprint("an open connection of a replaced authority is still trusted"))
	must.Eq(t, fault.KindUntrustedPeer, fault.KindOf(call(clientPeer)), must.Sprint("the server still uses the replaced authority"))
	must.NoError(t, call(otherPeer))
	staleClient := newPeer(t, Options{Cluster: "c", TLS: first.write(t, clientDir, 3)})
	staleClient.certs.roots = otherPeer.certs.roots
	must.Eq(t, fault.KindUntrustedPeer, fault.KindOf(call(staleClient)), must.Sprint("the server accepts any client"))
	second.write(t, clientDir, 2)
	must.NoError(t, call(clientPeer))
	must.NoError(t, os.WriteFile(filepath.Join(clientDir, "cert"), []byte("half written"), 0o600))
	must.NoError(t, call(clientPeer), must.Sprint("an incomplete replacement broke the connections"))
}

func (c *certificates) ptr() *TLSFiles { return &c.files }
