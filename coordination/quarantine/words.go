package quarantine

import "time"

// Kind is what a word tells.
type Kind int

// The kinds of words.
const (
	// Crashed: a server has ended, with the teller's requests under way there.
	Crashed Kind = iota + 1
	// Cleared: a content was answered, or released by an operator, and what was held against it before
	// counts no more.
	Cleared
	// Quarantined: a content is kept from the servers.
	Quarantined
)

// Suspect is a content that was under way at a server when that ended, and how long before it was
// sent there.
type Suspect struct {
	Fingerprint Fingerprint
	SentBefore  time.Duration
}

// Report is what a process has found out.
type Report struct {
	Kind Kind
	// At is the moment of the end or the answer, or of the last end before a quarantine, in the time of
	// the process that holds the word.
	At time.Duration
	// Entry is who found it out, Number orders its words.
	Entry  string
	Number uint64
	// Server and Suspects are those of an end.
	Server   string
	Suspects []Suspect
	// Fingerprint is the one that was cleared or is quarantined.
	Fingerprint Fingerprint
	// LiftsQuarantine is set when clearing has ended a quarantine.
	LiftsQuarantine bool
	// Servers are the last ones that a quarantined content has ended, Round counts its quarantines, and
	// Lasts is how long this one lasts after At.
	Servers  []string
	Round    int
	Duration time.Duration
}
