package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// FingerprintSize is the length of a content's identity in bytes: no tenant can find a second content
// for the identity of another's in less than 2^128 tries.
const FingerprintSize = 16

// Fingerprint identifies what a request asks for, whatever id it carries: two requests of a caller to
// the same host and target with the same body are the same content.
type Fingerprint struct {
	ID [FingerprintSize]byte
	// Caller tells contents of one caller from those of others, so that none fills the memory alone.
	Caller uint64
}

// String is the identity in hex, as logs, dumps and operators' commands name it.
func (c Fingerprint) String() string { return hex.EncodeToString(c.ID[:]) }

// Hasher computes a content's identity while the body is being read.
type Hasher struct {
	state  hash.Hash
	caller uint64
}

// NewHasher begins with what is known before the body: the tenant, or whoever the caller is, the
// host, and the target, which is path and query. The caller is part of the identity, so that nobody
// can shut out a content of somebody else by sending it.
func NewHasher(caller, host, target string) *Hasher {
	h := &Hasher{state: sha256.New()}
	h.add(caller)
	h.caller = binary.BigEndian.Uint64(h.state.Sum(nil))
	h.add(host)
	h.add(target)
	return h
}

// add hashes one part behind its length, so that parts can't run into each other.
func (h *Hasher) add(part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// Writing to a hash returns no error (hash.Hash).
	_, _ = h.state.Write(length[:])
	_, _ = h.state.Write([]byte(part))
}

// Write implements io.Writer for the body.
func (h *Hasher) Write(part []byte) (int, error) { return h.state.Write(part) }

// Fingerprint returns the identity of what was written.
func (h *Hasher) Fingerprint() Fingerprint {
	content := Fingerprint{Caller: h.caller}
	copy(content.ID[:], h.state.Sum(nil))
	return content
}
