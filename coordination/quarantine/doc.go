// Package quarantine finds out which content ends the servers that run it, and keeps it from further
// ones. Such a request is known as a query of death.
//
// A server that ends takes up to some dozens of requests with it, of which one did it. A Tracker
// keeps, for each server that has ended, the contents that were under way there, as far as this
// process and the others have told. A content that is under way at every end, and is never answered,
// is the cause: after three ends of which no other content is as good an explanation it is
// quarantined. With two it is a suspect and runs apart from other suspects, so that the next end
// tells them apart. An answer clears a content of everything before.
//
// An Archive holds the words from which other processes learn all that, also in processes that decide
// nothing.
//
// A Tracker whose bounds are all full takes 4.1 MB of heap, one that has seen nothing some KB.
//
// The package does no I/O, reads no clock, takes no lock and starts no goroutine. Times are spans since
// the process has started.
package quarantine
