package quarantine

import "time"

// Kind is the kind of a report.
type Kind int

// Kinds of reports.
const (
	// Crashed: a server has crashed with requests of the reporter under way.
	Crashed Kind = iota + 1
	// Cleared: a fingerprint was answered, or released by an operator; earlier evidence against it
	// no longer counts.
	Cleared
	// Quarantined: requests with a fingerprint are kept from the servers.
	Quarantined
)

// Suspect is a request that was under way at a server when it crashed; SentBefore is how long before
// the crash it was sent.
type Suspect struct {
	Request    Request
	SentBefore time.Duration
}

// Answer says that a part of a prompt was answered some time before a crash.
type Answer struct {
	Part   Fingerprint
	Before time.Duration
}

// Report is a finding of one process, sent to the others.
type Report struct {
	Kind Kind
	// At is the time of the crash or the answer, or of the last crash before a quarantine, in the
	// time of the process that holds the report.
	At time.Duration
	// Entry is the reporter; Number orders its reports.
	Entry  string
	Number uint64
	// Server and Suspects describe a crash.
	Server   string
	Suspects []Suspect
	// Answered are parts of the suspects that the reporter has seen answered after an earlier crash.
	Answered []Answer
	// Fingerprint is the one that was cleared or is quarantined.
	Fingerprint Fingerprint
	// LiftsQuarantine is set if clearing has lifted a quarantine.
	LiftsQuarantine bool
	// Servers are the latest ones that crashed under a quarantined fingerprint, Round counts its
	// earlier quarantines, and Duration is how long this one lasts from At on.
	Servers  []string
	Round    int
	Duration time.Duration
	// Companions and Callers limit the quarantine of a part: to requests that have all the companions
	// too, and, if there is one caller, to that.
	Companions []Fingerprint
	Callers    []uint64
}
