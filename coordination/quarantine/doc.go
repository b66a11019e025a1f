// Package quarantine identifies requests that crash the servers that run them (queries of death),
// and keeps them from further servers. Requests are identified by their Fingerprint.
//
// A crash interrupts up to some dozens of requests, of which one is the cause. A Tracker keeps, for
// each crash, the fingerprints of the requests under way at that server, as reported by this
// process and the others. A fingerprint that was under way at every crash and is never answered is
// the cause: after three crashes for which no other fingerprint is as likely a cause, it is
// quarantined. After two it is a suspect and its requests run apart from other suspects, so that
// the next crash tells them apart. An answer clears a fingerprint of all earlier crashes.
//
// An Archive keeps the reports from which other processes learn all this, also in processes that
// make no decisions themselves.
//
// A Tracker with all its limits reached takes 4.1 MB of heap, an empty one some KB.
//
// The package does no I/O, reads no clock, takes no locks and starts no goroutines. Times are
// durations since the start of the process.
package quarantine
