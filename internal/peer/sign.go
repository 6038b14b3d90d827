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

// Headers of the authentication with the cluster secret.
const (
	headerCluster = "Jasmine-Cluster"
	headerNonce   = "Jasmine-Nonce"
	headerBody    = "Jasmine-Body-Sha256"
	headerMAC     = "Jasmine-Mac"
)

const (
	nonceBytes = 16
	// maxNonces limits the nonces that a server stores. They cover the last few
	// seconds on a control host at 12,000 requests/s.
	maxNonces = 65_536
)

// requestMAC returns the HMAC-SHA256 of everything that determines how a request
// is served: the cluster, the method, the path, the type and the encoding of the
// body, the nonce and the digest of the body. Each part is prefixed with its
// length, so that different requests never have the same input.
func requestMAC(secret []byte, cluster string, r *http.Request, nonce, bodySum []byte) []byte {
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

// signer is a RoundTripper that adds the cluster's name to each request and, with
// a secret, signs it.
type signer struct {
	cluster string
	secret  []byte
	base    http.RoundTripper
}

// RoundTrip sends a signed copy of the request.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerCluster, s.cluster)
	if s.secret == nil {
		return s.base.RoundTrip(r)
	}
	body, err := readBody(r.Body, MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	// The transport retries with the same nonce only when the server has reported
	// that it did not process the request. In any other case the server would
	// refuse the nonce as a replay.
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
	r.Header.Set(headerMAC, encode(requestMAC(s.secret, s.cluster, r, nonce, sum[:])))
	return s.base.RoundTrip(r)
}

// readBody reads the whole body, or returns an error when it is larger than
// maxBytes.
func readBody(body io.ReadCloser, maxBytes int64) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidMessage, "the body of the request cannot be read", "send it again")
	}
	if int64(len(data)) > maxBytes {
		return nil, fault.Newf(fault.KindRequestTooLarge, "send smaller messages", "the message is larger than %d bytes", maxBytes)
	}
	return data, nil
}

// verifier checks requests that were signed with the cluster secret.
type verifier struct {
	cluster string
	secret  []byte
	nonces  nonceCache
}

const trustRemedy = "give both processes the same cluster secret or certificates of the same authority"

func untrusted(message string) error {
	return fault.New(fault.KindUntrustedPeer, message, trustRemedy)
}

// verify returns the request with its body read and verified. It checks the
// signature before it reads the body, so that a client without the secret cannot
// make the server read a large body.
func (v *verifier) verify(r *http.Request) (*http.Request, error) {
	nonce, err1 := base64.RawStdEncoding.DecodeString(r.Header.Get(headerNonce))
	sum, err2 := base64.RawStdEncoding.DecodeString(r.Header.Get(headerBody))
	got, err3 := base64.RawStdEncoding.DecodeString(r.Header.Get(headerMAC))
	if err1 != nil || err2 != nil || err3 != nil || len(nonce) != nonceBytes {
		return nil, untrusted("the request is not signed with a cluster secret")
	}
	if !hmac.Equal(got, requestMAC(v.secret, v.cluster, r, nonce, sum)) {
		return nil, untrusted("the request is signed with another cluster secret")
	}
	if !v.nonces.add([nonceBytes]byte(nonce)) {
		return nil, untrusted("the request was already received")
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

// nonceCache stores the last maxNonces nonces. The zero value is ready to use.
type nonceCache struct {
	mu      sync.Mutex
	present map[[nonceBytes]byte]struct{}
	ring    [][nonceBytes]byte
	oldest  int
}

// add stores the nonce and reports whether it was absent before.
func (n *nonceCache) add(nonce [nonceBytes]byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.present == nil {
		n.present = map[[nonceBytes]byte]struct{}{}
	}
	if _, ok := n.present[nonce]; ok {
		return false
	}
	n.present[nonce] = struct{}{}
	if len(n.ring) < maxNonces {
		n.ring = append(n.ring, nonce)
		return true
	}
	delete(n.present, n.ring[n.oldest])
	n.ring[n.oldest] = nonce
	n.oldest = (n.oldest + 1) % maxNonces
	return true
}
