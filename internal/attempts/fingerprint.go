package attempts

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies the content of a request. The parts are
// length-prefixed, so that two different requests never hash the same bytes.
func Fingerprint(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// PartFingerprint identifies a part of a prompt at a service, in whatever requests it
// occurs. It differs from the fingerprint of any request.
func PartFingerprint(service, id string) []byte {
	return Fingerprint([]byte("prompt part"), []byte(service), []byte(id))
}
