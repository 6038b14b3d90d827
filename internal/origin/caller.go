package origin

import (
	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
)

// Digest is the digest of what identifies a caller; zero for nothing.
type Digest [8]byte

// Caller identifies the caller of one attempt. Its digests differ for each attempt, so that a record does not
// show which streams have the same caller.
type Caller struct {
	// Credential is that of the key which the caller presents, and Team that of the team to which the key belongs.
	Credential, Team Digest
}

// CallerOf returns the caller of an attempt. The credential and the team are empty where there is none.
func CallerOf(attempt, credential, team string) Caller {
	return Caller{digestOf("credential", attempt, credential), digestOf("team", attempt, team)}
}

func digestOf(kind, attempt, text string) Digest {
	if text == "" {
		return Digest{}
	}
	return Digest(attempts.Fingerprint([]byte(kind), []byte(attempt), []byte(text)))
}

// MayTakeUp reports whether the caller may take up a stream that another caller, or the same one, began: its key
// began the stream, wherever that key is listed now, or its team did, whichever keys that has now. Anyone who
// names the attempt may take up a stream that was begun without a key.
func (c Caller) MayTakeUp(began Caller) bool {
	switch {
	case began == Caller{}:
		return true
	case began.Credential != Digest{} && began.Credential == c.Credential:
		return true
	}
	return began.Team != Digest{} && began.Team == c.Team
}

// Proto returns the caller as a protobuf message.
func (c Caller) Proto() *apiv1.StreamCaller {
	return &apiv1.StreamCaller{Credential: c.Credential.bytes(), Team: c.Team.bytes()}
}

func (d Digest) bytes() []byte {
	if d == (Digest{}) {
		return nil
	}
	return d[:]
}

// decodeCaller decodes a caller. It reports false for one that is not valid.
func decodeCaller(m *apiv1.StreamCaller) (c Caller, ok bool) {
	credential, ok1 := decodeDigest(m.GetCredential())
	team, ok2 := decodeDigest(m.GetTeam())
	return Caller{credential, team}, ok1 && ok2
}

func decodeDigest(data []byte) (d Digest, ok bool) {
	return d, len(data) == 0 || copy(d[:], data) == len(d) && len(data) == len(d)
}
