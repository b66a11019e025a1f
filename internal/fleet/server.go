package fleet

import (
	"context"
	"net/http"
	"time"

	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
)

// HeldModel is a model that a server holds completely or in part.
type HeldModel struct {
	Name    string
	Version uint64
	// FromLayer and ToLayer (exclusive) bound the layers held; both are zero if the server does not
	// report them, which means all layers.
	FromLayer int
	ToLayer   int
}

// Complete reports whether the server holds all the model's layers.
func (h HeldModel) Complete(layers int) bool {
	if h.FromLayer == 0 && h.ToLayer == 0 {
		return true
	}
	return h.FromLayer == 0 && h.ToLayer >= layers
}

// Server is a record of the published list of servers.
type Server struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Models   []HeldModel
	// ColdUntil is when the server will be warm, computed when the record was read. A time that is
	// past, or zero, means that the server is warm.
	ColdUntil time.Time
	// WrittenAt is the place of the record in the order of the store's writes.
	WrittenAt monotonic.Version
	// StartTime distinguishes this incarnation of the server from others with its ID.
	StartTime incarnation.StartTime
}

// PublishedVersion is the newest published version of a model's weights.
type PublishedVersion struct {
	Model    string
	Version  uint64
	Revision uint64
}

// Evacuation requests that the servers of a zone be sent no new requests until its record is
// deleted.
type Evacuation struct {
	Zone     string
	Revision uint64
}

// RecordKind is the kind of a published record.
type RecordKind int

// The kinds of published records.
const (
	RecordOther RecordKind = iota
	RecordConfiguration
	RecordServer
	RecordVersion
	RecordEvacuation
)

// Decoder decodes published records.
type Decoder interface {
	// Prefix is the common key prefix of all records to read.
	Prefix() string
	Kind(key string) RecordKind
	// Order returns the number that the record's writer raises with each write, and that of the
	// writer's life; 0 where there is none, or the value can't be decoded.
	Order(key string, value []byte) (incarnation, sequence uint64)
	Configuration(value []byte) (*Configuration, error)
	// Server decodes a server's record. Its relative times count from at.
	Server(record mirror.Record, at time.Time) (Server, error)
	Version(record mirror.Record) (PublishedVersion, error)
	// Evacuation decodes an evacuation. A non-empty zone is valid even with an error, which then
	// concerns the rest of the record.
	Evacuation(record mirror.Record) (Evacuation, error)
}

// Listing is the result of reading all records under a prefix.
type Listing struct {
	Records []mirror.Record
	// Revision is the revision from which a watch continues.
	Revision uint64
	// Epoch rises each time the store is restored from a copy of itself: its revisions rise within
	// an epoch, and with a new one go back and are given out again. It is 0 if the store states
	// none; EpochFault is then why a stated one is invalid, if it is.
	Epoch      uint64
	EpochFault error
}

// Store reads the platform's published records. Errors are *fault.Unavailable
// and, from Watch, *fault.HistoryCompacted.
type Store interface {
	List(ctx context.Context, prefix string) (Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// SilenceReporter is implemented by clients that detect silent connections. The function is called
// with the name of the other side and how long nothing was received. It must be registered before
// the first call.
type SilenceReporter interface {
	OnSilent(function func(target string, silent time.Duration))
}

// SilenceListener is implemented by clients that check their open connections when connections to
// other processes have turned out to be silent.
type SilenceListener interface {
	SuspectSilence()
}

// Report is a model server's report on its own state.
type Report struct {
	Models   []HeldModel
	Busy     bool
	Sequence uint64
	Running  int
	Waiting  int
	// CacheUsed and CacheTotal count tokens.
	CacheUsed  int
	CacheTotal int
	// Pace is greater than 1 when the server is slow.
	Pace float64
	// StartTime distinguishes this incarnation of the server from others with its ID.
	StartTime incarnation.StartTime
}

// StartOrder orders a server to take a staged version into service.
type StartOrder struct {
	Model   string
	Version uint64
	// Sequence is the number of accepted orders that the sender has seen.
	Sequence uint64
	// FromLayer and ToLayer (exclusive) bound the layers to load; both are zero for all layers.
	FromLayer int
	ToLayer   int
}

// OrderOutcome is a server's answer to an order.
type OrderOutcome int

// The outcomes of orders.
const (
	// OrderAccepted means that the server executes the order.
	OrderAccepted OrderOutcome = iota + 1
	// OrderAlreadyHeld means that the server already holds what was ordered.
	OrderAlreadyHeld
	// OrderConflict means that the order does not fit the server's state.
	OrderConflict
)

// ModelServer is a client of the model server on the process's own machine.
type ModelServer interface {
	Report(ctx context.Context) (Report, error)
	// Start sends the order; after an error the server may still have accepted it. beforeSend is asked once the
	// server is connected, right before the order is written. If it returns an error the order is not sent, and
	// Start returns that error.
	Start(ctx context.Context, order StartOrder, beforeSend func() error) (OrderOutcome, error)
	// HeldPieces lists the staged pieces, which are unverified and may be of any version.
	HeldPieces(ctx context.Context, model string) ([]int, error)
	Piece(ctx context.Context, model string, index int) ([]byte, error)
	Stage(ctx context.Context, model string, index int, content []byte) error
}

// Manifest lists the pieces of a version by their digests.
type Manifest struct {
	Model   string
	Version uint64
	Layers  int
	// PieceBytes is the size of every piece.
	PieceBytes int
	// Digests are raw SHA-256 sums.
	Digests [][32]byte
}

// WeightOrigin is a client of the origin, which serves the weights of every version.
type WeightOrigin interface {
	// Manifest reads a version's manifest; version 0 reads the newest.
	Manifest(ctx context.Context, address, model string, version uint64) (Manifest, error)
	Piece(ctx context.Context, address, model string, version uint64, index int) ([]byte, error)
}

// CallHeader is what the header of a caller's request states besides its target.
type CallHeader struct {
	RequestID string
	// Deadline is the time that the caller waits; zero if not stated.
	Deadline time.Duration
	// Key is the caller's API key; empty if there is none.
	Key   string
	Model string
	// PromptTokens and AnswerTokens are the size of a generation; zero if not stated.
	PromptTokens int
	AnswerTokens int
	// LengthHint estimates the tokens of the answer; zero if not stated.
	LengthHint int
	// SharedParts are the ids of the parts of the prompt, in order, that other prompts may have too;
	// nil if not stated.
	SharedParts []string
	LastEventID string
}

// MaxSharedParts is the maximum number of shared parts that are read of a prompt.
const MaxSharedParts = 1024

// SendHeader is what an entry adds to the header of a request to a server.
type SendHeader struct {
	Deadline time.Duration
	Instance string
	// Version is zero if any version will do.
	Version  uint64
	Tenant   string
	Priority int
	// LastEventID resumes a stream; if empty, the caller's own value is kept.
	LastEventID string
}

// AnswerHeader is what the header of a server's answer states.
type AnswerHeader struct {
	RequestID string
	// Instance is the server's own name; empty if not stated.
	Instance string
	// NotRun is set if the server states that it has not run the request.
	NotRun bool
	// Signed is set if the answer carries the server's signature.
	Signed bool
	// Version is the version of the weights; zero if not stated.
	Version uint64
	// ColdFor is how much longer the server is cold, as answers to health checks state it; zero if
	// not stated.
	ColdFor time.Duration
	// Limit is the server's rate limit.
	Limit RateLimit
	// Leaving is set if the server announces that it is about to stop.
	Leaving bool
	// Backoff is how long the server wants no more requests from this process; zero if not stated.
	Backoff Backoff
}

// Backoff is the time for which an answer asks to send its server no requests.
type Backoff struct {
	Duration time.Duration
	// Unreadable is set if the answer states something that is not a time.
	Unreadable bool
}

// RateLimitKind is whether an answer states its server's rate limit.
type RateLimitKind int

// The ways in which an answer states a rate limit.
const (
	// NoRateLimit: the answer states none.
	NoRateLimit RateLimitKind = iota
	// RateLimitStated: the answer states one.
	RateLimitStated
	// RateLimitUnreadable: the answer states something that is not a rate. The limit known before
	// stays in force.
	RateLimitUnreadable
)

// MaxRequestsPerSecond is far more than any server takes; a higher limit counts as none.
const MaxRequestsPerSecond = 1e6

// RateLimit is how many requests per second a server takes from all entries together.
type RateLimit struct {
	Kind      RateLimitKind
	PerSecond float64
}

// Dialect reads and writes the platform's headers.
type Dialect interface {
	ReadCall(header http.Header) (CallHeader, error)
	// WriteSend converts a caller's header, in place, to the header for a server.
	WriteSend(header http.Header, send SendHeader)
	ReadAnswer(status int, header http.Header) AnswerHeader
	// RefusalHeader adds to the header of an answer that the entry itself gives.
	RefusalHeader(header http.Header, requestID string, retryAfter time.Duration)
	ReadyPath() string
	// ReportPath is the path of a model server's status report, which ReadReport parses.
	ReportPath() string
	ReadReport(body []byte) (Report, error)
}
