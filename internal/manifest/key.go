package manifest

import (
	"encoding/base32"
	"encoding/hex"
	"io"
	"strings"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const keyPrefix = "jsk_"

// secretBytes is the length of a key's random part, 256 bits.
const secretBytes = 32

// NewKey returns a new key for the team and its entry in the manifest, which
// contains only the key's hash. random is crypto/rand.Reader outside tests.
func NewKey(id, team string, random io.Reader) (string, *apiv1.Key, error) {
	if !namePattern.MatchString(id) {
		return "", nil, fault.Newf(fault.KindInvalidManifest, nameRemedy, "%q is not a valid name", id).At("id")
	}
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", nil, fault.Wrap(err, fault.KindInternal, "no random bytes for a key", "check the system's random source")
	}
	encoded := strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(secret))
	key := keyPrefix + id + "_" + encoded
	return key, &apiv1.Key{Id: id, Team: team, Sha256: HashKey(key)}, nil
}

// HashKey returns the hash of a presented key as the manifest stores it.
func HashKey(presented string) string {
	h := config.HashKey(presented)
	return hex.EncodeToString(h[:])
}

// KeyID returns the id inside a presented key, for logs. It does not verify the
// key.
func KeyID(presented string) (string, bool) {
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	cut := strings.LastIndexByte(rest, '_')
	if !ok || cut <= 0 || !namePattern.MatchString(rest[:cut]) {
		return "", false
	}
	return rest[:cut], true
}
