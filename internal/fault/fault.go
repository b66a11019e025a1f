// Package fault declares the typed failures of pinevane. Every error that
// crosses a package boundary is one of these types, possibly wrapped with
// github.com/pkg/errors to carry a stack.
package fault

import (
	"fmt"
	"strings"
	"time"
)

// InvalidSetting reports a flag or environment variable outside its range.
type InvalidSetting struct {
	// Flag is the long flag name, for example "--listen".
	Flag string
	// Value is what was given.
	Value string
	// Allowed describes the accepted range, with its unit.
	Allowed string
}

func (e *InvalidSetting) Error() string {
	return fmt.Sprintf("invalid value %q for %s: allowed is %s", e.Value, e.Flag, e.Allowed)
}

// InvalidDocument reports one fault in a published configuration document.
type InvalidDocument struct {
	// Document is the document's key, a path relative to its root.
	Document string
	// Path locates the field inside the document, for example "parameters.priority".
	Path string
	// Reason says what is wrong with the field.
	Reason string
}

func (e *InvalidDocument) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Document, e.Path, e.Reason)
}

// InvalidConfiguration collects every fault of one configuration revision.
type InvalidConfiguration struct {
	Faults []*InvalidDocument
}

func (e *InvalidConfiguration) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// StaleRevision reports an attempt to replace a configuration by an older one.
type StaleRevision struct {
	Current string
	Offered string
}

func (e *StaleRevision) Error() string {
	return fmt.Sprintf("revision %s is not newer than %s", e.Offered, e.Current)
}

// Execution tells whether a refused or failed request may have run.
type Execution string

// The values of Execution. NotRun is only said on proof.
const (
	ExecutionNotRun  Execution = "not-run"
	ExecutionUnknown Execution = "unknown"
)

// Reason is a machine-readable code for a refusal.
type Reason string

// The refusal reasons returned to callers.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonForbidden        Reason = "forbidden"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonLimitRequests    Reason = "limit-requests"
	ReasonLimitTokens      Reason = "limit-tokens"
	ReasonLimitConcurrency Reason = "limit-concurrency"
	ReasonNoReplica        Reason = "no-replica"
	ReasonLeaving          Reason = "leaving"
	ReasonOverloaded       Reason = "overloaded"
	ReasonVersionChanged   Reason = "version-changed"
	ReasonIncarnation      Reason = "incarnation-changed"
	ReasonRevoked          Reason = "revoked"
	ReasonWindow           Reason = "outside-window"
	ReasonDuplicate        Reason = "duplicate-key"
	ReasonLinkLost         Reason = "link-lost"
	ReasonBackendFailed    Reason = "backend-failed"
	ReasonWrongVersion     Reason = "wrong-version"
	// ReasonVersionDeadline is why a request is taken back that has not begun on an old
	// version of the weights before that version's time was over.
	ReasonVersionDeadline Reason = "version-bound"
	// ReasonServerUnwilling is why a request that was about to be sent was not: its server has said
	// meanwhile that it wants nothing more, for now or because it is about to end.
	ReasonServerUnwilling Reason = "server-unwilling"
	// ReasonEvacuated is why a request that was about to be sent was not: the zone of its
	// server has been evacuated meanwhile.
	ReasonEvacuated Reason = "zone-evacuated"
	ReasonDeadline  Reason = "deadline-exceeded"
	ReasonCanceled  Reason = "canceled"
	ReasonStalled   Reason = "stalled"
	// ReasonConnectionSilent is why an attempt ended whose connection was found silent or is
	// distrusted together with others.
	ReasonConnectionSilent Reason = "connection-silent"
	// ReasonOverdue is why one ended whose answer took many times as long as usual.
	ReasonOverdue  Reason = "overdue"
	ReasonNotReady Reason = "not-ready"
	ReasonTooLarge Reason = "too-large"
	// ReasonResidency is why a request is refused for which there are servers, but none in
	// the regions in which it may be served.
	ReasonResidency Reason = "data-residency"
	// ReasonQuarantined is why a request is refused whose content has ended the servers that ran it;
	// ReasonSuspected, that it may be such a one, which is being found out.
	ReasonQuarantined Reason = "content-quarantined"
	ReasonSuspected   Reason = "content-suspected"
	// ReasonMemory is why a request is refused whose body the process has no room for.
	ReasonMemory Reason = "memory"
)

// Refusal is the failure of a caller's request.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// Detail is a sentence for people; programs use Reason.
	Detail string
	// Field names the offending request field, when there is one.
	Field string
	// RetryAfter is how long the caller should wait; zero means unsaid.
	RetryAfter time.Duration
}

func (e *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Execution, e.Detail)
}

// NotRun builds a refusal of a request that is proven not to have run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Execution: ExecutionNotRun, Detail: detail}
}

// Unknown builds the failure of a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Execution: ExecutionUnknown, Detail: detail}
}

// Unavailable reports that a remote process did not answer usefully.
type Unavailable struct {
	// Target names the remote process or service.
	Target string
	// Operation is what was asked of it.
	Operation string
	// Status is the HTTP status, or zero when no answer arrived.
	Status int
	// Cause is the underlying failure, if any.
	Cause error
}

func (e *Unavailable) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Target, e.Operation, e.Cause)
	}
	return fmt.Sprintf("%s: %s: status %d", e.Target, e.Operation, e.Status)
}

// Unwrap returns the underlying failure.
func (e *Unavailable) Unwrap() error { return e.Cause }

// HistoryCompacted reports a watch that asked for changes the store has forgotten; the
// records must be listed anew.
type HistoryCompacted struct {
	Prefix string
	After  uint64
}

func (e *HistoryCompacted) Error() string {
	return fmt.Sprintf("the store has forgotten the changes of %q after %d", e.Prefix, e.After)
}

// RecordFault is what is wrong with a published record.
type RecordFault string

// The faults of records.
const (
	// RecordUnreadable: the bytes are no value of the kind, or a field has another type.
	RecordUnreadable RecordFault = "unreadable"
	// RecordIncomplete: a field is missing, or says what can't be.
	RecordIncomplete RecordFault = "incomplete"
)

// InvalidRecord reports a published record that can't be used.
type InvalidRecord struct {
	Key    string
	Fault  RecordFault
	Reason string
}

func (e *InvalidRecord) Error() string { return fmt.Sprintf("record %s: %s", e.Key, e.Reason) }

// InvalidHeader reports a header of a request that can't be read.
type InvalidHeader struct {
	Header string
	Value  string
}

func (e *InvalidHeader) Error() string {
	return fmt.Sprintf("header %s: invalid value %q", e.Header, e.Value)
}

// Corrupt reports bytes that do not match the digest they were asked by.
type Corrupt struct {
	Expected string
	Actual   string
	Source   string
}

func (e *Corrupt) Error() string {
	return fmt.Sprintf("content from %s has digest %s, expected %s", e.Source, e.Actual, e.Expected)
}

// InvalidManifest reports a manifest whose sizes, counts or digests are wrong.
type InvalidManifest struct {
	Field  string
	Reason string
}

func (e *InvalidManifest) Error() string {
	return fmt.Sprintf("manifest: %s: %s", e.Field, e.Reason)
}

// Stalled reports a transfer whose rate fell under the accepted minimum.
type Stalled struct {
	Source string
	// Received is the number of bytes that had arrived.
	Received int64
	// Window is the time over which too few bytes arrived.
	Window time.Duration
}

func (e *Stalled) Error() string {
	return fmt.Sprintf("transfer from %s stalled after %d bytes (window %s)", e.Source, e.Received, e.Window)
}

// OrderRejected reports an engine that refused an order.
type OrderRejected struct {
	Action string
	Reason string
}

func (e *OrderRejected) Error() string {
	return fmt.Sprintf("engine rejected order %s: %s", e.Action, e.Reason)
}

// InvalidFrame reports a message between processes that cannot be decoded.
type InvalidFrame struct {
	Field  string
	Reason string
}

func (e *InvalidFrame) Error() string {
	return fmt.Sprintf("frame: %s: %s", e.Field, e.Reason)
}

// GuaranteeViolated reports a violated guarantee found by a demo or an experiment.
type GuaranteeViolated struct {
	Guarantee string
	Detail    string
}

func (e *GuaranteeViolated) Error() string {
	return fmt.Sprintf("promise broken: %s: %s", e.Guarantee, e.Detail)
}

// Timeout reports a condition that was not reached in time.
type Timeout struct {
	Condition string
	After     time.Duration
}

func (e *Timeout) Error() string {
	return fmt.Sprintf("timed out after %s waiting for %s", e.After, e.Condition)
}
