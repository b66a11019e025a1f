package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"hash/fnv"
	"slices"
	"strings"
)

// FingerprintSize is the length of a fingerprint in bytes. Finding a second request for the
// fingerprint of another tenant's takes about 2^128 attempts.
const FingerprintSize = 16

// Fingerprint identifies something that may crash servers: what a request asks for as a whole,
// whatever its id, or one part of its prompt.
type Fingerprint struct {
	ID [FingerprintSize]byte
	// Scope separates fingerprints of different origin. For a whole request it is the caller, so that
	// no single caller can fill the memory; for a part of a prompt it is the model.
	Scope uint64
	// Part is set for a part of a prompt. Its fingerprint is the same for all callers.
	Part bool
}

// String returns the fingerprint in hex, as used in logs, dumps and operators' commands.
func (f Fingerprint) String() string { return hex.EncodeToString(f.ID[:]) }

// Request describes a request by all that may be the cause of a crash. Two requests of a caller to
// the same host and target with the same body have the same fingerprint.
type Request struct {
	Fingerprint Fingerprint
	// Model is the scope of the parts.
	Model uint64
	// Parts are the fingerprints of the parts of the prompt that other requests may have too.
	Parts []Fingerprint
}

// MaxParts is the number of parts of a prompt that are looked at, from its beginning.
const MaxParts = 64

// hasParts reports whether the request has all the given parts.
func (r Request) hasParts(parts []Fingerprint) bool {
	return !slices.ContainsFunc(parts, func(part Fingerprint) bool { return !slices.Contains(r.Parts, part) })
}

// Hasher computes the fingerprint of a request while its body is being read.
type Hasher struct {
	state hash.Hash
	scope uint64
}

// NewHasher starts a fingerprint with what is known before the body: the caller (the tenant, if
// there is one), the host, and the target, which consists of path and query. The caller is included
// so that nobody can get another caller's request quarantined by sending the same one.
func NewHasher(caller, host, target string) *Hasher {
	h := &Hasher{state: sha256.New()}
	h.add(caller)
	h.scope = binary.BigEndian.Uint64(h.state.Sum(nil))
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
	fingerprint := Fingerprint{Scope: h.scope}
	copy(fingerprint.ID[:], h.state.Sum(nil))
	return fingerprint
}

// SetPrompt sets the model and the parts of the prompt, each part once, MaxParts at most.
func (r *Request) SetPrompt(model string, parts []string) {
	scope := fnv.New64a()
	_, _ = scope.Write([]byte(model))
	r.Model = scope.Sum64()
	for _, part := range parts[:min(len(parts), MaxParts)] {
		fingerprint := Fingerprint{ID: partID(part), Scope: r.Model, Part: true}
		if !slices.Contains(r.Parts, fingerprint) {
			r.Parts = append(r.Parts, fingerprint)
		}
	}
}

// anyPartOf returns the fingerprint that stands for all parts of prompts for a model.
func anyPartOf(model uint64) Fingerprint { return Fingerprint{Scope: model, Part: true} }

// partID returns the text that names a part, followed by zeros, or a hash of it if it is too long. A fast
// hash is enough: callers choose the texts, so that a secure one would not keep them from naming another
// caller's part.
func partID(text string) (id [FingerprintSize]byte) {
	if len(text) <= FingerprintSize {
		copy(id[:], text)
		return id
	}
	sum := fnv.New128a()
	_, _ = sum.Write([]byte(text))
	sum.Sum(id[:0])
	return id
}

// PartName returns the text that names a part, or "" if it is not known because it is long.
func (f Fingerprint) PartName() string {
	name := strings.TrimRight(string(f.ID[:]), "\x00")
	isText := !strings.ContainsFunc(name, func(character rune) bool { return character <= ' ' || character > '~' })
	if !f.Part || !isText {
		return ""
	}
	return name
}
