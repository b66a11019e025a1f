// Package quarantine identifies requests that crash the servers that run them (queries of death),
// and keeps them from further servers. A Request is identified by the Fingerprint of the whole and
// by those of the parts of its prompt, which other requests may have too.
//
// A crash interrupts up to some dozens of requests, of which one is the cause. A Tracker keeps, for
// each crash, the fingerprints of the requests under way at that server, as reported by this
// process and the others. A fingerprint that was under way at every crash and is never answered is
// the cause: after three crashes for which no other fingerprint is as likely a cause, it is
// quarantined. After two it is a suspect and its requests run apart from other suspects, so that
// the next crash tells them apart. An answer clears a fingerprint of all earlier crashes.
//
// A part of a prompt is shared with sound requests, which go on meanwhile. It takes five crashes, and
// is compared with all else that was under way: by the answers of late, the number of crashes, and
// the crashes by time under way. If it is the likely cause but not the certain one, its quarantine
// is short and ends with a trial by one entry.
//
// An Archive keeps the reports from which other processes learn all this, also in processes that
// make no decisions themselves.
//
// A Tracker with all its limits reached takes 12.4 MB of heap, an empty one some KB.
//
// The package does no I/O, reads no clock, takes no locks and starts no goroutines. Times are
// durations since the start of the process.
package quarantine
