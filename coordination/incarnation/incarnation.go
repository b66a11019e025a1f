// Package incarnation distinguishes the incarnations of a server that restarts under the same name.
package incarnation

// StartTime is when a server started, in Unix milliseconds of its own clock; 0 if unknown. It is
// only compared with start times of the same server, so that the clock need not be right. Two
// incarnations that started in the same millisecond are considered the same.
type StartTime int64

// Before reports whether an incarnation is known to have started before another one of the same
// server.
func (s StartTime) Before(other StartTime) bool { return s != 0 && other != 0 && s < other }

// Differs reports whether two incarnations of a server are known to be different.
func (s StartTime) Differs(other StartTime) bool { return s != 0 && other != 0 && s != other }
