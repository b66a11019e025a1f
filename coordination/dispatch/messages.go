package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/residency"
	"pinevane.example/pinevane/coordination/shedding"
)

// Server is one line of the published list of servers.
type Server struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Version is the newest that the line names; 0 when it names none.
	Version uint64
	// HoldsModel is set when the line names any model.
	HoldsModel bool
	// ColdUntil is when the server will be warm; a time that is past, or zero, means that it
	// is warm.
	ColdUntil time.Time
	// Revision orders the lines: of two with the same address the higher is the newer.
	Revision uint64
	// StartTime tells this life of the server from others under its ID.
	StartTime incarnation.Born
}

// Service is what is published of a service.
type Service struct {
	// ColdTime is how long a server is cold after a start.
	ColdTime time.Duration
	// ColdRate is how many requests a cold server may receive in any second, over the whole
	// fleet; 0 when there is no bound.
	ColdRate float64
}

// Fleet is what is published, as far as decisions need it.
type Fleet struct {
	Servers  []Server
	Services map[string]Service
	// Evacuated are the zones that are to be sent nothing new.
	Evacuated []string
}

// Engine describes the model servers of a service, which read prompts and fetch versions.
type Engine struct {
	// Published are the published figures of speed and size.
	Published balance.Server
	// Pieces is of how many pieces a version consists; 0 when that is not known.
	Pieces int
	// MaxPrompt is the largest prompt that a server can hold, in tokens.
	MaxPrompt int
	// CopyTime is how long one copy of a version takes over a link like the origin's.
	CopyTime time.Duration
	// ActivationTime is the time to take a staged version into service.
	ActivationTime time.Duration
}

// LoadReport is what the agent beside a model server tells of it.
type LoadReport struct {
	Address string
	// Reachable is false while the server does not answer its own machine.
	Reachable bool
	// Version is served whole; 0 when none is.
	Version uint64
	Running int
	Waiting int
	// UnreadTokens are the prompts of the requests that wait; 0 when the agent does not know
	// them.
	UnreadTokens int
	// Pace is over 1 when the server is slow.
	Pace float64
	// SwitchPlanned is set when the server is to change over, SwitchIn after the word; 0
	// means that it is changing.
	SwitchPlanned bool
	SwitchIn      time.Duration
	// FetchingVersion and Missing tell of the version being fetched, and its pieces to come.
	FetchingVersion uint64
	MissingPieces   int
	// LinkRTT is how long a message over the machine's link and back takes; 0 while that is
	// not known.
	LinkRTT time.Duration
	// ColdFor is how much longer the server is cold; 0 when it is warm, as far as the agent
	// knows.
	ColdFor time.Duration
	// Received counts the requests that all entries have announced to the server in the last
	// admission.ColdSpan.
	Received int
	// StartTime is that of the server that the word is on.
	StartTime incarnation.Born
}

// Request is what a request wants of a server.
type Request struct {
	Service string
	Route   string
	// Arrival tells whether the caller came back after a refusal.
	Arrival shedding.Arrival
	// Engine describes the service's model servers; nil for plain servers.
	Engine *Engine
	// Figures are those of Engine, completed and corrected by Core.Figures.
	Figures balance.Server
	// Target is the time to the first event, or the whole answer, that the caller is promised.
	Target time.Duration
	// Streaming requests are answered in events.
	Streaming bool
	// AtMostOnce is set when the request must not be run twice.
	AtMostOnce bool
	// LastAttempt is set when no other attempt would follow one that fails, for want of time, of
	// attempts or of the retry budget.
	LastAttempt bool
	// TimeLeft is what is left of the caller's time; 0 when it has no end.
	TimeLeft time.Duration
	// MinOverdueTime is the least silence after which an answer can be overdue.
	MinOverdueTime time.Duration
	// OtherEntries is how many other entries may be sending to the service's servers.
	OtherEntries int
	// Prompt and Answer are sizes in tokens.
	Prompt int
	Answer int
	// Tried are the servers that the request was sent to before.
	Tried []*Candidate
	// Excluded are the IDs of servers that must not get the request though others may use them.
	Excluded []string
	// Queried are the servers whose agents have just been asked; without any, all are candidates.
	Queried []*Candidate
	// MinVersion and Exactly bound the version; zero does not.
	MinVersion   uint64
	ExactVersion uint64
	// VersionDeadlines end the time of older versions.
	VersionDeadlines VersionDeadlines
	// Residency bounds the regions of the servers.
	Residency residency.Residency
	// Resumed requests are not refused for load: they have been admitted before.
	Resumed bool
}

// VersionDeadline is until when a server with a version older than a named one may begin requests.
type VersionDeadline struct {
	Version uint64
	Until   time.Time
}

// VersionDeadlines are the bounds of the named versions of a model, the newest last.
type VersionDeadlines []VersionDeadline

// For returns until when a server with a version may begin requests; false when no newer version
// is named.
func (b VersionDeadlines) For(version uint64) (time.Time, bool) {
	for _, one := range b {
		if one.Version > version {
			return one.Until, true
		}
	}
	return time.Time{}, false
}

// Decision is a server for a request, and what was known of it.
type Decision struct {
	Candidate *Candidate
	// Send stands for the request at the server, in what is told of it later.
	Send        *Send
	Outstanding int
	Load        balance.Load
	// ReportAge is the age of the agent's word; NoWord when none came.
	ReportAge time.Duration
	// Considered is how many servers were fit.
	Considered int
	// Expected is the predicted time until the request begins to be answered.
	Expected time.Duration
	// startByLoad is the part of it that the server's load explains.
	startByLoad time.Duration
	// Version is the one that the server is known to have; 0 when none is.
	Version uint64
	// Trial is set when the request is to show whether a server serves that was ejected, or that the
	// agent beside it does not reach.
	Trial bool
	// OverdueAfter is the silence after which the answer is overdue, before it has begun; 0 leaves it to the
	// caller.
	OverdueAfter time.Duration
	Admission    Admission
}

// Admission is what a request was admitted or refused by at the chosen or soonest server.
type Admission struct {
	// IdleDelay is when the server would begin the request if it were idle.
	IdleDelay time.Duration
	// Wait is how long the request would wait for others there, and Late the part of that by which the server has
	// lately begun others late; MostWait is how long it may.
	Wait     time.Duration
	Lateness time.Duration
	MaxWait  time.Duration
	// Margin is what is learned of late beginnings, as a share of the target.
	Margin float64
}

// RefusalReason is why a request is sent to no server.
type RefusalReason int

// The reasons of refusals.
const (
	// RefusedNoServer: no server is fit.
	RefusedNoServer RefusalReason = iota
	// RefusedResidency: none in the allowed regions is fit, and one elsewhere is.
	RefusedResidency
	// RefusedOverload: at each fit server the request would wait for others for too long.
	RefusedOverload
)

// Refusal is that a request is sent to no server now.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the earliest time at which the request may be served.
	RetryAfter time.Duration
	// Servers counts the service's servers by why they were left out.
	Servers map[Eligibility]int
	// Admission tells what the soonest of the fit servers would have it wait; zero unless overloaded.
	Admission Admission
	// OldestReport is the age of the oldest word of an agent.
	OldestReport time.Duration
	// opensIn is when the first of the servers is open that only what they have asked for keeps from the request.
	opensIn time.Duration
}
