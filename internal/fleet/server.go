package fleet

import (
	"context"
	"net/http"
	"time"

	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/mirror"
)

// HeldModel is a model that a server holds, wholly or in part.
type HeldModel struct {
	Name    string
	Version uint64
	// FromLayer and ToLayer (exclusive) bound the layers held; both are zero when
	// the server does not say, which means all of them.
	FromLayer int
	ToLayer   int
}

// Complete reports whether the model is here whole, of layers in all.
func (h HeldModel) Complete(layers int) bool {
	if h.FromLayer == 0 && h.ToLayer == 0 {
		return true
	}
	return h.FromLayer == 0 && h.ToLayer >= layers
}

// Server is one line of the published list of servers.
type Server struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Models   []HeldModel
	// ColdUntil is when the server will be warm, by its line's word when that was read; a
	// time that is past, or zero, means that it is warm.
	ColdUntil time.Time
	// Revision is the store's revision of the line.
	Revision uint64
	// StartTime tells this life of the server from others under its ID.
	StartTime incarnation.StartTime
}

// PublishedVersion is the newest published version of a model's weights.
type PublishedVersion struct {
	Model    string
	Version  uint64
	Revision uint64
}

// Evacuation asks that the servers of a zone are sent nothing new, until its record is
// taken away.
type Evacuation struct {
	Zone     string
	Revision uint64
}

// RecordKind tells what a published record holds.
type RecordKind int

// The kinds of published records.
const (
	RecordOther RecordKind = iota
	RecordConfiguration
	RecordServer
	RecordVersion
	RecordEvacuation
)

// Decoder reads published records.
type Decoder interface {
	// Prefix covers all records to read.
	Prefix() string
	Kind(key string) RecordKind
	Configuration(value []byte) (*Configuration, error)
	// Server reads a server's line as of a time, from which its times count.
	Server(record mirror.Record, at time.Time) (Server, error)
	Version(record mirror.Record) (PublishedVersion, error)
	// Evacuation reads an evacuation. Its zone is valid also beside an error about the
	// rest of the record, unless it is empty.
	Evacuation(record mirror.Record) (Evacuation, error)
}

// Listing is a read of all records under a prefix.
type Listing struct {
	Records []mirror.Record
	// Revision is the revision from which a watch continues.
	Revision uint64
}

// Store reads the platform's published records. Errors are *fault.Unavailable
// and, from Watch, *fault.HistoryGone.
type Store interface {
	List(ctx context.Context, prefix string) (Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// SilenceReporter is implemented by clients that notice when connections have gone silent. The
// function is told the name of the other side and for how long nothing was heard. It is to be
// registered before the first call.
type SilenceReporter interface {
	OnSilent(function func(target string, silent time.Duration))
}

// SilenceListener is implemented by clients that look at their open connections when those to other
// processes have turned out to be silent.
type SilenceListener interface {
	SuspectSilence()
}

// Report is a model server's word on itself.
type Report struct {
	Models   []HeldModel
	Busy     bool
	Sequence uint64
	Running  int
	Waiting  int
	// CacheUsed and CacheTotal count tokens.
	CacheUsed  int
	CacheTotal int
	// Pace is over 1 when the server is slow.
	Pace float64
	// StartTime tells this life of the server from others under its ID.
	StartTime incarnation.StartTime
}

// StartOrder asks a server to take a staged version into service.
type StartOrder struct {
	Model   string
	Version uint64
	// Sequence is the number of orders taken that the giver has seen.
	Sequence uint64
	// FromLayer and ToLayer (exclusive) bound the layers to be taken; both are zero for all.
	FromLayer int
	ToLayer   int
}

// OrderOutcome is a server's answer to an order.
type OrderOutcome int

// The outcomes of orders.
const (
	// OrderAccepted means that the server has taken the order.
	OrderAccepted OrderOutcome = iota + 1
	// OrderAlreadyHeld means that there is nothing left to do.
	OrderAlreadyHeld
	// OrderConflict means that the order does not fit the server's state.
	OrderConflict
)

// ModelServer is the model server of the process's own machine.
type ModelServer interface {
	Report(ctx context.Context) (Report, error)
	// Start gives the order; an error means that it may have been taken.
	Start(ctx context.Context, order StartOrder) (OrderOutcome, error)
	// HeldPieces lists the staged pieces, unverified and of any version.
	HeldPieces(ctx context.Context, model string) ([]int, error)
	Piece(ctx context.Context, model string, index int) ([]byte, error)
	Stage(ctx context.Context, model string, index int, content []byte) error
}

// Manifest names the pieces of a version by their digests.
type Manifest struct {
	Model   string
	Version uint64
	Layers  int
	// PieceBytes is the size of every piece.
	PieceBytes int
	// Digests are SHA-256 sums, raw.
	Digests [][32]byte
}

// WeightOrigin hands out the weights of every version.
type WeightOrigin interface {
	// Manifest reads a version's manifest; version 0 asks for the newest.
	Manifest(ctx context.Context, address, model string, version uint64) (Manifest, error)
	Piece(ctx context.Context, address, model string, version uint64, index int) ([]byte, error)
}

// CallHeader is what a caller's request says of itself besides its target.
type CallHeader struct {
	RequestID string
	// Deadline is the time that the caller waits; zero when it does not say.
	Deadline time.Duration
	// Key is the caller's API key; empty when there is none.
	Key   string
	Model string
	// PromptTokens and AnswerTokens size a generation; zero when not said.
	PromptTokens int
	AnswerTokens int
	// LengthHint guesses the tokens of the answer; zero when not said.
	LengthHint  int
	LastEventID string
}

// SendHeader is what the system itself tells a server with a request.
type SendHeader struct {
	Deadline time.Duration
	Instance string
	// Version is zero when any version will do.
	Version  uint64
	Tenant   string
	Priority int
	// LastEventID continues a stream; empty leaves the caller's own.
	LastEventID string
}

// AnswerHeader is what a server's answer says of itself.
type AnswerHeader struct {
	RequestID string
	// Instance is the server's own name; empty when not said.
	Instance string
	// NotRun is the server's word that it has not run the request.
	NotRun bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
	// Version is that of the weights; zero when not said.
	Version uint64
	// ColdFor is how much longer the server is cold, which answers to health checks say; zero
	// when not said.
	ColdFor time.Duration
	// Limit is what the server says of how many requests it takes.
	Limit RateLimit
	// Leaving is set when the server says that it is about to end.
	Leaving bool
	// Backoff is for how long the server wants nothing more from this process; zero when it does not say.
	Backoff Backoff
}

// Backoff is what an answer says of a time in which its server wants no requests.
type Backoff struct {
	Duration time.Duration
	// Unreadable is set when the answer names something that is no time.
	Unreadable bool
}

// RateLimitKind is what an answer says of its server's limit.
type RateLimitKind int

// The words on limits.
const (
	// NoRateLimit: the answer names none.
	NoRateLimit RateLimitKind = iota
	// RateLimitStated: it names one.
	RateLimitStated
	// RateLimitUnreadable: it names something that is no rate. The limit known before holds on.
	RateLimitUnreadable
)

// MaxRequestsPerSecond is far more than any server takes; a limit above it is none.
const MaxRequestsPerSecond = 1e6

// RateLimit is how many requests a second a server takes from all entries together.
type RateLimit struct {
	Kind      RateLimitKind
	PerSecond float64
}

// Dialect reads and writes the platform's headers.
type Dialect interface {
	ReadCall(header http.Header) (CallHeader, error)
	// WriteSend turns a caller's header into the one for a server, in place.
	WriteSend(header http.Header, send SendHeader)
	ReadAnswer(status int, header http.Header) AnswerHeader
	// RefusalHeader adds to the header of an answer of our own.
	RefusalHeader(header http.Header, requestID string, retryAfter time.Duration)
	ReadyPath() string
}
