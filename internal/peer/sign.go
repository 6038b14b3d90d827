package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"sync"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Headers of the authentication by the cluster secret.
const (
	headerCluster = "Jasmine-Cluster"
	headerNonce   = "Jasmine-Nonce"
	headerBody    = "Jasmine-Body-Sha256"
	headerMAC     = "Jasmine-Mac"
)

const (
	nonceBytes = 16
	// maxNonces bounds the nonces that a server remembers. It is a few seconds of
	// requests on a control host at 12,000 requests/s.
	maxNonces = 65_536
)

// mac returns the HMAC-SHA256 of what decides how a request is served: the
// cluster, the method, the path, the encoding of the body, the nonce and the
// digest of the body. Each part is preceded by its length, so that no two
// requests give the same input.
func mac(secret []byte, cluster string, r *http.Request, nonce, bodySum []byte) []byte {
	h := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{
		[]byte("jasminesaddle request 1"), []byte(cluster), []byte(r.Method), []byte(r.URL.RequestURI()),
		[]byte(r.Header.Get("Content-Type")), []byte(r.Header.Get("Content-Encoding")), nonce, bodySum,
	} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// signer adds the cluster's name to each request and, with a secret, the
// authentication.
type signer struct {
	cluster string
	secret  []byte
	next    http.RoundTripper
}

// RoundTrip signs a copy of the request.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerCluster, s.cluster)
	if s.secret == nil {
		return s.next.RoundTrip(r)
	}
	body, err := readBody(r.Body, MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	// The transport sends a request again only when the server has said that it
	// did not process it. Otherwise the server refuses the nonce as a replay.
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	r.Body, _ = r.GetBody()
	r.ContentLength = int64(len(body))
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	encode := base64.RawStdEncoding.EncodeToString
	r.Header.Set(headerNonce, encode(nonce))
	r.Header.Set(headerBody, encode(sum[:]))
	r.Header.Set(headerMAC, encode(mac(s.secret, s.cluster, r, nonce, sum[:])))
	return s.next.RoundTrip(r)
}

// readBody reads a whole body up to the bound.
func readBody(body io.ReadCloser, most int64) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, most+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidMessage, "the body of the request cannot be read", "send it again")
	}
	if int64(len(data)) > most {
		return nil, fault.Newf(fault.KindRequestTooLarge, "send less at once", "the message is larger than %d bytes", most)
	}
	return data, nil
}

// verifier checks requests that were signed with the cluster secret.
type verifier struct {
	cluster string
	secret  []byte
	seen    nonces
}

const trustRemedy = "give both processes the same cluster secret or certificates of the same authority"

func untrusted(message string) error {
	return fault.New(fault.KindUntrustedPeer, message, trustRemedy)
}

// verify returns the request with its body read and checked. The signature is
// checked first, so that a stranger cannot make the server read a large body.
func (v *verifier) verify(r *http.Request) (*http.Request, error) {
	nonce, err1 := base64.RawStdEncoding.DecodeString(r.Header.Get(headerNonce))
	sum, err2 := base64.RawStdEncoding.DecodeString(r.Header.Get(headerBody))
	got, err3 := base64.RawStdEncoding.DecodeString(r.Header.Get(headerMAC))
	if err1 != nil || err2 != nil || err3 != nil || len(nonce) != nonceBytes {
		return nil, untrusted("the request is not signed with a cluster secret")
	}
	if !hmac.Equal(got, mac(v.secret, v.cluster, r, nonce, sum)) {
		return nil, untrusted("the request is signed with another cluster secret")
	}
	if !v.seen.add([nonceBytes]byte(nonce)) {
		return nil, untrusted("the request was received before")
	}
	body, err := readBody(r.Body, MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	if actual := sha256.Sum256(body); !hmac.Equal(actual[:], sum) {
		return nil, untrusted("the body does not match the signature")
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r, nil
}

// nonces remembers the last nonces. The zero value is ready for use.
type nonces struct {
	mu   sync.Mutex
	set  map[[nonceBytes]byte]struct{}
	ring [][nonceBytes]byte
	next int
}

// add returns false when the nonce is remembered already.
func (n *nonces) add(nonce [nonceBytes]byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.set == nil {
		n.set = map[[nonceBytes]byte]struct{}{}
	}
	if _, ok := n.set[nonce]; ok {
		return false
	}
	n.set[nonce] = struct{}{}
	if len(n.ring) < maxNonces {
		n.ring = append(n.ring, nonce)
		return true
	}
	delete(n.set, n.ring[n.next])
	n.ring[n.next] = nonce
	n.next = (n.next + 1) % maxNonces
	return true
}
