// Package quarantine finds out which content ends the servers that run it, and keeps it from
// further ones. It does no I/O, reads no clock, takes no lock and starts no goroutine.
package quarantine
