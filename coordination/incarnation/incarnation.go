// Package incarnation tells the lives of a server apart that starts again under its name.
package incarnation

// StartTime is when a server has started, in Unix milliseconds of its own clock; 0 while that is not known.
// It is only compared with others of the same server, so that the clock need not be right. Two lives
// that began in the same millisecond are taken for one.
type StartTime int64

// Before reports whether a server's life began before another one of it.
func (b StartTime) Before(other StartTime) bool { return b != 0 && other != 0 && b < other }

// Differs reports whether two lives of a server are known not to be the same.
func (b StartTime) Differs(other StartTime) bool { return b != 0 && other != 0 && b != other }
