// Package external contains the clients for the platform around pinevane: the configuration and
// membership services, the weight origin, a machine's weight store, its engine and its plain
// services. Each is a small interface with one HTTP implementation, so that support for another
// published API takes one new file.
package external

import (
	"context"
	"io"
	"time"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/weights"
)

// Publication is a read-only, versioned set of documents that can be watched: the configuration or
// the membership list.
type Publication interface {
	// Watch waits until the publication is newer than since, at most for wait, and returns the
	// update. The bool is false if nothing changed.
	Watch(ctx context.Context, since monotonic.Version, wait time.Duration) (monotonic.Update, bool, error)
}

// Role is what a member of the fleet does.
type Role string

// The roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is an entry of the membership list, encoded as JSON in a document whose key is the
// member's ID.
type Member struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the IP address and port of the member's pinevane process.
	Address string `json:"address"`
	// Service is the name of the plain service behind an agent, or empty for an engine.
	Service string `json:"service,omitempty"`
	// Leaving is set when the platform has announced the member's removal.
	Leaving bool `json:"leaving,omitempty"`
}

// Origin serves the weights of every published version.
type Origin interface {
	// Manifest returns the bytes published under a manifest digest.
	Manifest(ctx context.Context, digest weights.Digest) ([]byte, error)
	// Chunk opens a chunk; the caller verifies it and closes the reader.
	Chunk(ctx context.Context, chunk weights.Chunk) (io.ReadCloser, error)
}

// Store is the weight store of one machine. It keeps chunks for the lifetime of the machine, also
// across restarts of the agent.
type Store interface {
	// List returns the digests of the complete chunks held.
	List(ctx context.Context) ([]weights.Digest, error)
	// Put stores a chunk once the reader ends with io.EOF. On any other error the chunk is
	// discarded.
	Put(ctx context.Context, chunk weights.Chunk, content io.Reader) error
	// Open opens a stored chunk for reading.
	Open(ctx context.Context, digest weights.Digest) (io.ReadCloser, error)
	// Delete removes the given chunks, which no assigned version needs.
	Delete(ctx context.Context, digests []weights.Digest) error
}

// Fence is a fencing token, which defines the sequence of the orders to an engine. An engine that
// checks fences refuses an order with a fence lower than the highest it has seen.
type Fence struct {
	Revision    monotonic.Version `json:"revision"`
	Incarnation uint64            `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
}

// Compare returns -1, 0 or 1 as f is lower than, equal to or higher than other.
func (f Fence) Compare(other Fence) int {
	if order := f.Revision.Compare(other.Revision); order != 0 {
		return order
	}
	switch {
	case f.Incarnation != other.Incarnation:
		return compareNumbers(f.Incarnation, other.Incarnation)
	default:
		return compareNumbers(f.Sequence, other.Sequence)
	}
}

func compareNumbers(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Action is what an order tells an engine to do.
type Action string

// Actions of orders to an engine.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is a fenced order to an engine.
type Order struct {
	Fence   Fence  `json:"fence"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Chunks lists the digests of the weights to load from the machine's store, in order.
	Chunks   []weights.Digest `json:"chunks,omitempty"`
	Adapters []string         `json:"adapters,omitempty"`
}

// LoadedVersion is a version that an engine can answer with.
type LoadedVersion struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// EngineStatus is an engine's status report. Its load figures lag behind.
type EngineStatus struct {
	Incarnation uint64          `json:"incarnation"`
	Loaded      []LoadedVersion `json:"loaded"`
	Running     int             `json:"running"`
	Waiting     int             `json:"waiting"`
}

// GenerationRequest asks an engine to generate an answer to a prompt.
type GenerationRequest struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// MaximumTokens bounds the complete answer, including the tokens before ResumeFrom.
	MaximumTokens int `json:"maximum_tokens"`
	Priority      int `json:"priority"`
	// ResumeFrom is the number of tokens of the answer that were already delivered.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// FinishReason says why an answer ended.
type FinishReason string

// The finish reasons of an engine.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// GenerationEvent is one line of an engine's answer. The last line has Finish set; an answer
// without it is truncated.
type GenerationEvent struct {
	// Index is the token's position in the complete answer.
	Index       int          `json:"index"`
	Token       string       `json:"token,omitempty"`
	Finish      FinishReason `json:"finish,omitempty"`
	Version     string       `json:"version"`
	Incarnation uint64       `json:"incarnation"`
}

// Engine is a model engine on the agent's own machine.
type Engine interface {
	Status(ctx context.Context) (EngineStatus, error)
	// Execute executes an order. A *fault.OrderRejected means that the engine has refused it.
	Execute(ctx context.Context, order Order) error
	// Generate streams an answer to emit, in order, until Finish or an error.
	Generate(ctx context.Context, generation GenerationRequest, emit func(GenerationEvent) error) error
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Repeatable says whether the call may run more than once.
	Repeatable bool
}

// ServiceAnswer is a plain service's complete answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a plain service on the agent's own machine.
type Service interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}
