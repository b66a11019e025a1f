// Package fault declares the error types of pinevane. Every error that crosses a
// package boundary is one of these types, possibly wrapped with
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
	// Value is the rejected value.
	Value string
	// Allowed describes the accepted range, with its unit.
	Allowed string
}

func (e *InvalidSetting) Error() string {
	return fmt.Sprintf("invalid value %q for %s: allowed is %s", e.Value, e.Flag, e.Allowed)
}

// InvalidDocument reports one invalid field of a published configuration document.
type InvalidDocument struct {
	// Document is the document's key, a path relative to its root.
	Document string
	// Path locates the field inside the document, for example "parameters.priority".
	Path string
	// Reason describes the fault of the field.
	Reason string
}

func (e *InvalidDocument) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Document, e.Path, e.Reason)
}

// InvalidConfiguration collects all faults of one configuration revision.
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

// Execution states whether a refused or failed request may have run.
type Execution string

// The values of Execution. ExecutionNotRun is used only when it is certain.
const (
	ExecutionNotRun  Execution = "not-run"
	ExecutionUnknown Execution = "unknown"
)

// Reason is a machine-readable code for a refusal.
type Reason string

// The reasons of refusals, as returned to callers.
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
	// ReasonVersionDeadline refuses a request that did not start on an old version of the
	// weights before that version's deadline.
	ReasonVersionDeadline Reason = "version-bound"
	// ReasonServerUnwilling stops a request right before it is sent: its server has requested a backoff
	// or announced that it is leaving in the meantime.
	ReasonServerUnwilling Reason = "server-unwilling"
	// ReasonEvacuated stops a request right before it is sent: the zone of its server has
	// been evacuated in the meantime.
	ReasonEvacuated Reason = "zone-evacuated"
	ReasonDeadline  Reason = "deadline-exceeded"
	ReasonCanceled  Reason = "canceled"
	ReasonStalled   Reason = "stalled"
	// ReasonConnectionSilent ends an attempt whose connection was found silent or is suspected
	// together with others.
	ReasonConnectionSilent Reason = "connection-silent"
	// ReasonOverdue ends an attempt whose response took many times the typical time.
	ReasonOverdue  Reason = "overdue"
	ReasonNotReady Reason = "not-ready"
	ReasonTooLarge Reason = "too-large"
	// ReasonResidency refuses a request for which there are servers, but none in its allowed
	// regions.
	ReasonResidency Reason = "data-residency"
	// ReasonQuarantined refuses a request whose fingerprint has crashed the servers that ran it;
	// ReasonSuspected refuses a request whose fingerprint is suspected of crashing servers and is still being
	// tested.
	ReasonQuarantined Reason = "content-quarantined"
	ReasonSuspected   Reason = "content-suspected"
	// ReasonMemory refuses a request whose body does not fit into the process's memory limit.
	ReasonMemory Reason = "memory"
	// ReasonInternal ends a request whose handler has panicked.
	ReasonInternal Reason = "internal"
)

// Refusal is the error with which a caller's request is refused or fails.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// Detail is an explanation for people; programs use Reason.
	Detail string
	// Field names the invalid field of the request, if any.
	Field string
	// RetryAfter is how long the caller should wait; zero means unspecified.
	RetryAfter time.Duration
}

func (e *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Execution, e.Detail)
}

// NotRun returns a refusal of a request that certainly did not run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Execution: ExecutionNotRun, Detail: detail}
}

// Unknown returns a failure of a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Execution: ExecutionUnknown, Detail: detail}
}

// Unavailable reports that a remote process gave no usable response.
type Unavailable struct {
	// Target names the remote process or service.
	Target string
	// Operation is the failed operation.
	Operation string
	// Status is the HTTP status, or zero when no response arrived.
	Status int
	// Epoch is the store's epoch that the response states, 0 if it states none.
	Epoch uint64
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

// HistoryCompacted reports a watch for changes that can't be read one by one: the store no longer has
// them, or they are too long for one answer. The records must be listed again.
type HistoryCompacted struct {
	Prefix string
	After  uint64
	// TooLong is set if the store has the changes and they are too long.
	TooLong bool
	// Epoch is the store's epoch that the response states, 0 if it states none.
	Epoch uint64
}

func (e *HistoryCompacted) Error() string {
	if e.TooLong {
		return fmt.Sprintf("the changes of %q after revision %d are too long for one answer of the store", e.Prefix, e.After)
	}
	return fmt.Sprintf("the store no longer has the changes of %q after revision %d", e.Prefix, e.After)
}

// StaleEpoch reports an answer of the store from another epoch than the one that is in force.
type StaleEpoch struct {
	Current uint64
	Offered uint64
}

func (e *StaleEpoch) Error() string {
	return fmt.Sprintf("the store answers from epoch %d, the present one is %d", e.Offered, e.Current)
}

// RecordFault classifies the fault of a published record.
type RecordFault string

// The faults of records.
const (
	// RecordUnreadable means that the value can't be decoded, or a field has another type.
	RecordUnreadable RecordFault = "unreadable"
	// RecordIncomplete means that a field is missing or has an impossible value.
	RecordIncomplete RecordFault = "incomplete"
)

// InvalidRecord reports an unusable published record.
type InvalidRecord struct {
	Key    string
	Fault  RecordFault
	Reason string
}

func (e *InvalidRecord) Error() string { return fmt.Sprintf("record %s: %s", e.Key, e.Reason) }

// InvalidHeader reports a request header that can't be parsed.
type InvalidHeader struct {
	Header string
	Value  string
}

func (e *InvalidHeader) Error() string {
	return fmt.Sprintf("header %s: invalid value %q", e.Header, e.Value)
}

// Corrupt reports bytes that do not match the digest with which they were requested.
type Corrupt struct {
	Expected string
	Actual   string
	Source   string
}

func (e *Corrupt) Error() string {
	return fmt.Sprintf("content from %s has digest %s, expected %s", e.Source, e.Actual, e.Expected)
}

// InvalidManifest reports a manifest with invalid sizes, counts or digests.
type InvalidManifest struct {
	Field  string
	Reason string
}

func (e *InvalidManifest) Error() string {
	return fmt.Sprintf("manifest: %s: %s", e.Field, e.Reason)
}

// Stalled reports a transfer whose rate fell below the accepted minimum.
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

// OrderRejected reports an order that the engine rejected.
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

// GuaranteeViolated reports that a demo or an experiment detected the violation of a guarantee.
type GuaranteeViolated struct {
	Guarantee string
	Detail    string
}

func (e *GuaranteeViolated) Error() string {
	return fmt.Sprintf("guarantee violated: %s: %s", e.Guarantee, e.Detail)
}

// Timeout reports a condition that was not reached in time.
type Timeout struct {
	Condition string
	After     time.Duration
}

func (e *Timeout) Error() string {
	return fmt.Sprintf("timed out after %s waiting for %s", e.After, e.Condition)
}
