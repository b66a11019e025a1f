package site

import "strings"

// EntryAddress returns the host and port of an entry for callers.
func (s *Site) EntryAddress(zone, index int) string {
	return strings.TrimPrefix(s.EntryURL(zone, index), "http://")
}
