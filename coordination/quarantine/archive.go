package quarantine

import (
	"slices"
	"time"
)

// Limits of the reports kept for other processes: as many crashes as a Tracker keeps, each with
// reports of a few entries.
const (
	maxCrashReports      = 2 * maxCrashes
	maxClearedReports    = 1024
	maxQuarantineReports = maxQuarantines
)

// reportKey identifies a report.
type reportKey struct {
	entry  string
	number uint64
}

// archivedReport is a report with its position in the order of arrival.
type archivedReport struct {
	report   Report
	sequence uint64
}

// Archive keeps reports in order to pass them on to other processes, including those that start
// later.
type Archive struct {
	reports  map[reportKey]archivedReport
	sequence uint64
}

// NewArchive returns an empty archive.
func NewArchive() *Archive { return &Archive{reports: map[reportKey]archivedReport{}} }

// Sequence returns the sequence number of the latest report.
func (a *Archive) Sequence() uint64 { return a.sequence }

// Add adds a report and reports whether it was new.
func (a *Archive) Add(report Report, now time.Duration) bool {
	key := reportKey{report.Entry, report.Number}
	if _, known := a.reports[key]; known || now-report.At > report.ttl() {
		return false
	}
	if report.Kind == Quarantined && a.isLifted(report) {
		return false
	}
	if report.Kind == Cleared && report.LiftsQuarantine {
		a.dropLifted(report)
	}
	a.makeRoom(report.Kind)
	a.sequence++
	a.reports[key] = archivedReport{report: report, sequence: a.sequence}
	return true
}

// ttl returns how long a report may still matter to some process.
func (r Report) ttl() time.Duration {
	switch {
	case r.Kind == Quarantined:
		return r.Duration + maxQuarantine
	case r.Kind == Cleared && r.LiftsQuarantine:
		return maxQuarantine
	}
	return evidenceTTL
}

// isLifted reports whether a quarantine is known to have been lifted.
func (a *Archive) isLifted(report Report) bool {
	for _, archived := range a.reports {
		if archived.report.Kind == Cleared && archived.report.LiftsQuarantine && archived.report.Fingerprint == report.Fingerprint && archived.report.At >= report.At {
			return true
		}
	}
	return false
}

// dropLifted drops the reports of a quarantine that has been lifted.
func (a *Archive) dropLifted(cleared Report) {
	for key, archived := range a.reports {
		if archived.report.Kind == Quarantined && archived.report.Fingerprint == cleared.Fingerprint && archived.report.At <= cleared.At {
			delete(a.reports, key)
		}
	}
}

// makeRoom drops a report if the limit of its kind is reached: the oldest one; of quarantine
// reports the oldest of the caller with the most.
func (a *Archive) makeRoom(kind Kind) {
	var ofKind []archivedReport
	counts := map[uint64]int{}
	for _, archived := range a.reports {
		if archived.report.Kind == kind {
			ofKind = append(ofKind, archived)
			counts[archived.report.Fingerprint.Scope]++
		}
	}
	if len(ofKind) < maxReports(kind) {
		return
	}
	evicted := slices.MinFunc(ofKind, func(x, y archivedReport) int {
		if kind == Quarantined && counts[x.report.Fingerprint.Scope] != counts[y.report.Fingerprint.Scope] {
			return counts[y.report.Fingerprint.Scope] - counts[x.report.Fingerprint.Scope]
		}
		return int(x.sequence) - int(y.sequence)
	})
	delete(a.reports, reportKey{evicted.report.Entry, evicted.report.Number})
}

func maxReports(kind Kind) int {
	switch kind {
	case Crashed:
		return maxCrashReports
	case Cleared:
		return maxClearedReports
	}
	return maxQuarantineReports
}

// Since returns the reports added after the given sequence number, in order.
func (a *Archive) Since(sequence uint64) []Report {
	var later []archivedReport
	for _, archived := range a.reports {
		if archived.sequence > sequence {
			later = append(later, archived)
		}
	}
	slices.SortFunc(later, func(x, y archivedReport) int { return int(x.sequence) - int(y.sequence) })
	reports := make([]Report, 0, len(later))
	for _, archived := range later {
		reports = append(reports, archived.report)
	}
	return reports
}

// Expire drops the reports that no longer matter to any process.
func (a *Archive) Expire(now time.Duration) {
	for key, archived := range a.reports {
		if now-archived.report.At > archived.report.ttl() {
			delete(a.reports, key)
		}
	}
}
