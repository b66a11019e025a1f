package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// FingerprintSize is the length of a fingerprint in bytes. Finding a second request for the
// fingerprint of another tenant's takes about 2^128 attempts.
const FingerprintSize = 16

// Fingerprint identifies what a request asks for, whatever its id: two requests of a caller to the
// same host and target with the same body have the same fingerprint.
type Fingerprint struct {
	ID [FingerprintSize]byte
	// Caller distinguishes the callers, so that no single caller can fill the memory.
	Caller uint64
}

// String returns the fingerprint in hex, as used in logs, dumps and operators' commands.
func (f Fingerprint) String() string { return hex.EncodeToString(f.ID[:]) }

// Hasher computes the fingerprint of a request while its body is being read.
type Hasher struct {
	state  hash.Hash
	caller uint64
}

// NewHasher starts a fingerprint with what is known before the body: the caller (the tenant, if
// there is one), the host, and the target, which consists of path and query. The caller is included
// so that nobody can get another caller's request quarantined by sending the same one.
func NewHasher(caller, host, target string) *Hasher {
	h := &Hasher{state: sha256.New()}
	h.add(caller)
	h.caller = binary.BigEndian.Uint64(h.state.Sum(nil))
	h.add(host)
	h.add(target)
	return h
}

// add hashes one part, prefixed by its length so that the boundaries between parts are unambiguous.
func (h *Hasher) add(part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// Writing to a hash returns no error (hash.Hash).
	_, _ = h.state.Write(length[:])
	_, _ = h.state.Write([]byte(part))
}

// Write implements io.Writer for the body.
func (h *Hasher) Write(part []byte) (int, error) { return h.state.Write(part) }

// Fingerprint returns the fingerprint of what was written.
func (h *Hasher) Fingerprint() Fingerprint {
	fingerprint := Fingerprint{Caller: h.caller}
	copy(fingerprint.ID[:], h.state.Sum(nil))
	return fingerprint
}
