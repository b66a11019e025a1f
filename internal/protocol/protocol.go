// Package protocol declares the messages between entries and agents.
package protocol

import (
	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
)

// Topics of the messages. The part before the dot is the kind under which the
// traffic is counted.
const (
	// TopicSession carries Session, agent to entry, once a link.
	TopicSession = "attempt.session"
	// TopicSubmit carries Submit, entry to agent.
	TopicSubmit = "attempt.submit"
	// TopicCancel carries Reference, entry to agent.
	TopicCancel = "attempt.cancel"
	// TopicEvent carries Event, agent to entry.
	TopicEvent = "attempt.event"
	// TopicInquire carries Reference, entry to agent, also about attempts of
	// earlier links.
	TopicInquire = "attempt.inquire"
	// TopicResolved carries Resolved, agent to entry.
	TopicResolved = "attempt.resolved"
	// TopicStatus carries Status, agent to entry.
	TopicStatus = "liveness.status"
)

// Session opens the numbering of attempts on a link.
type Session struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Session     uint64 `cbor:"2,keyasint"`
}

// Generate is work for a model engine, pinned to one version.
type Generate struct {
	Model         string `cbor:"1,keyasint"`
	Version       string `cbor:"2,keyasint"`
	Adapter       string `cbor:"3,keyasint,omitempty"`
	Prompt        string `cbor:"4,keyasint"`
	MaximumTokens int    `cbor:"5,keyasint"`
	// ResumeFrom is how many tokens the caller already has.
	ResumeFrom int `cbor:"6,keyasint,omitempty"`
}

// Call is work for a plain service.
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
	// Repeatable is false for work that may run at most once.
	Repeatable bool `cbor:"5,keyasint"`
	// Key is the caller's own name for the request, if any.
	Key string `cbor:"6,keyasint,omitempty"`
	// RemainingMilliseconds is the time left; durations need no common clock.
	RemainingMilliseconds int64     `cbor:"7,keyasint"`
	Generate              *Generate `cbor:"8,keyasint,omitempty"`
	Call                  *Call     `cbor:"9,keyasint,omitempty"`
}

// AttemptRef names an attempt.
type AttemptRef struct {
	ID attempt.ID `cbor:"1,keyasint"`
}

// EventKind says what happened to an attempt.
type EventKind int

// The kinds of events. Finished, Answered, Refused and Failed are last.
const (
	// Token carries the next token.
	Token EventKind = iota + 1
	// Finished ends a whole answer of an engine.
	Finished
	// Answered carries the whole answer of a plain service.
	Answered
	// Refused means that the attempt did not run and never will.
	Refused
	// Failed means that the attempt may have run.
	Failed
)

// Event tells the entry of an attempt.
type Event struct {
	ID   attempt.ID `cbor:"1,keyasint"`
	Kind EventKind  `cbor:"2,keyasint"`
	// Index is the token's position in the whole answer.
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

// Resolved answers an inquiry.
type Resolved struct {
	ID      attempt.ID      `cbor:"1,keyasint"`
	Outcome attempt.Outcome `cbor:"2,keyasint"`
	// Answer is set when the attempt ran and its answer is still held.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// ServedVersion is a model version that an agent admits requests to.
type ServedVersion struct {
	Model    string   `cbor:"1,keyasint" json:"model"`
	Version  string   `cbor:"2,keyasint" json:"version"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	// Retiring versions take no new requests but those that resume.
	Retiring bool `cbor:"4,keyasint,omitempty" json:"retiring,omitempty"`
}

// StatusReport is an agent's word on itself, sent on each change and as a heartbeat.
type StatusReport struct {
	Sequence uint64          `cbor:"1,keyasint" json:"sequence"`
	Leaving  bool            `cbor:"2,keyasint,omitempty" json:"leaving"`
	Served   []ServedVersion `cbor:"3,keyasint,omitempty" json:"served,omitempty"`
	Service  string          `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	// Open is how many attempts of all entries run at the agent.
	Open int `cbor:"5,keyasint,omitempty" json:"open"`
}
