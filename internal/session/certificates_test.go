package session

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
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// authority creates a certificate authority: authority NAME. It writes NAME.pem
// and NAME.key.
func authority(ts *testscript.TestScript, _ bool, args []string) {
	template := &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	writeCertificate(ts, args[0], template, nil, nil)
}

// certificate creates a certificate for the script's loopback address, signed by
// an authority: certificate NAME AUTHORITY. It writes NAME.pem and NAME.key.
func certificate(ts *testscript.TestScript, _ bool, args []string) {
	certBlock, _ := pem.Decode([]byte(ts.ReadFile(args[1] + ".pem")))
	parent, err := x509.ParseCertificate(certBlock.Bytes)
	ts.Check(err)
	keyBlock, _ := pem.Decode([]byte(ts.ReadFile(args[1] + ".key")))
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	ts.Check(err)
	template := &x509.Certificate{
		IPAddresses: []net.IP{net.ParseIP(ts.Getenv("LOOPBACK"))},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	writeCertificate(ts, args[0], template, parent, key)
}

// writeCertificate signs the template with the parent's key, or with its own key
// if there is no parent, and writes the certificate and its key.
func writeCertificate(ts *testscript.TestScript, name string, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template.SerialNumber, err = rand.Int(rand.Reader, big.NewInt(1<<62))
	ts.Check(err)
	template.Subject = pkix.Name{CommonName: name}
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = time.Now().Add(24 * time.Hour)
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	ts.Check(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	ts.Check(err)
	writePEM(ts, name+".pem", "CERTIFICATE", der)
	writePEM(ts, name+".key", "EC PRIVATE KEY", keyDER)
}

func writePEM(ts *testscript.TestScript, file, kind string, der []byte) {
	ts.Check(os.WriteFile(ts.MkAbs(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// capture matches the standard output of the last command with an expression and
// sets a variable to its first group: capture NAME REGEXP.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	out := ts.ReadFile("stdout")
	m := regexp.MustCompile(args[1]).FindStringSubmatch(out)
	if len(m) < 2 {
		ts.Fatalf("%q matches no group in\n%s", args[1], out)
	}
	ts.Setenv(args[0], m[1])
}
