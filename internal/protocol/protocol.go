// Package protocol declares the messages between entries and agents.
package protocol

import (
	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
)

// Topics of the messages. Traffic is counted by the part before the dot.
const (
	// TopicSession carries Session, agent to entry, once per link.
	TopicSession = "attempt.session"
	// TopicSubmit carries Submit, entry to agent.
	TopicSubmit = "attempt.submit"
	// TopicCancel carries AttemptRef, entry to agent.
	TopicCancel = "attempt.cancel"
	// TopicEvent carries Event, agent to entry.
	TopicEvent = "attempt.event"
	// TopicInquire carries AttemptRef, entry to agent. It may refer to attempts of earlier links.
	TopicInquire = "attempt.inquire"
	// TopicResolved carries Resolved, agent to entry.
	TopicResolved = "attempt.resolved"
	// TopicStatus carries StatusReport, agent to entry.
	TopicStatus = "liveness.status"
)

// Session starts the numbering of the attempts on a link.
type Session struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Session     uint64 `cbor:"2,keyasint"`
}

// Generate is a request to a model engine, pinned to one version.
type Generate struct {
	Model         string `cbor:"1,keyasint"`
	Version       string `cbor:"2,keyasint"`
	Adapter       string `cbor:"3,keyasint,omitempty"`
	Prompt        string `cbor:"4,keyasint"`
	MaximumTokens int    `cbor:"5,keyasint"`
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int `cbor:"6,keyasint,omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	Service     string `cbor:"1,keyasint"`
	Method      string `cbor:"2,keyasint"`
	Path        string `cbor:"3,keyasint"`
	ContentType string `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
}

// Submit asks an agent to run an attempt.
type Submit struct {
	ID        attempt.ID `cbor:"1,keyasint"`
	RequestID string     `cbor:"2,keyasint"`
	Tenant    string     `cbor:"3,keyasint"`
	Priority  int        `cbor:"4,keyasint"`
	// Repeatable is false if the request may run at most once.
	Repeatable bool `cbor:"5,keyasint"`
	// Key is the caller's idempotency key, if any.
	Key string `cbor:"6,keyasint,omitempty"`
	// RemainingMilliseconds is the time remaining until the deadline. A duration needs no
	// synchronized clocks.
	RemainingMilliseconds int64     `cbor:"7,keyasint"`
	Generate              *Generate `cbor:"8,keyasint,omitempty"`
	Call                  *Call     `cbor:"9,keyasint,omitempty"`
}

// AttemptRef identifies the attempt that a message refers to.
type AttemptRef struct {
	ID attempt.ID `cbor:"1,keyasint"`
}

// EventKind is the type of an attempt's event.
type EventKind int

// The kinds of events. Each but Token is the last event of its attempt.
const (
	// Token carries the next token.
	Token EventKind = iota + 1
	// Finished ends the complete answer of an engine.
	Finished
	// Answered carries the complete answer of a plain service.
	Answered
	// Refused means that the attempt has not run and never will.
	Refused
	// Failed means that the attempt may have run.
	Failed
)

// Event reports the progress or the end of an attempt to the entry.
type Event struct {
	ID   attempt.ID `cbor:"1,keyasint"`
	Kind EventKind  `cbor:"2,keyasint"`
	// Index is the token's position in the complete answer.
	Index   int                   `cbor:"3,keyasint,omitempty"`
	Token   string                `cbor:"4,keyasint,omitempty"`
	Version string                `cbor:"5,keyasint,omitempty"`
	Finish  external.FinishReason `cbor:"6,keyasint,omitempty"`
	Answer  *Answer               `cbor:"7,keyasint,omitempty"`
	Reason  fault.Reason          `cbor:"8,keyasint,omitempty"`
	Detail  string                `cbor:"9,keyasint,omitempty"`
}

// Answer is a plain service's answer.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}

// Resolved answers an inquiry about the outcome of an attempt.
type Resolved struct {
	ID      attempt.ID      `cbor:"1,keyasint"`
	Outcome attempt.Outcome `cbor:"2,keyasint"`
	// Answer is set if the attempt ran and its answer is still stored.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// ServedVersion is a model version that an agent admits requests to.
type ServedVersion struct {
	Model    string   `cbor:"1,keyasint" json:"model"`
	Version  string   `cbor:"2,keyasint" json:"version"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	// Retiring is set if the version accepts only requests that resume.
	Retiring bool `cbor:"4,keyasint,omitempty" json:"retiring,omitempty"`
}

// StatusReport is an agent's report of its own state, sent on each change and as a heartbeat.
type StatusReport struct {
	Sequence uint64          `cbor:"1,keyasint" json:"sequence"`
	Leaving  bool            `cbor:"2,keyasint,omitempty" json:"leaving"`
	Served   []ServedVersion `cbor:"3,keyasint,omitempty" json:"served,omitempty"`
	Service  string          `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	// Open is the number of attempts, from all entries, that run at the agent.
	Open int `cbor:"5,keyasint,omitempty" json:"open"`
}
