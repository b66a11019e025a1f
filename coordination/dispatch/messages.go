package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/coordination/residency"
	"pinevane.example/pinevane/coordination/shedding"
)

// Server is one entry of the published list of servers.
type Server struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Version is the newest version that the list entry names, 0 if none.
	Version uint64
	// HoldsModel is set when the list entry names any model.
	HoldsModel bool
	// ColdUntil is when the server will be warm. If it is past or zero, the server is warm.
	ColdUntil time.Time
	// WrittenAt orders list entries: of two with the same address, the later one is newer.
	WrittenAt monotonic.Version
	// StartTime distinguishes this incarnation from others with the same ID.
	StartTime incarnation.StartTime
}

// Service holds the published settings of a service.
type Service struct {
	// ColdTime is how long a server is cold after a start.
	ColdTime time.Duration
	// ColdRate is the number of requests that a cold server may receive in any second from the whole fleet; 0
	// means no limit.
	ColdRate float64
}

// Fleet is the part of the published fleet that decisions need.
type Fleet struct {
	Servers  []Server
	Services map[string]Service
	// Evacuated lists the zones that are to be sent no new requests.
	Evacuated []string
}

// Engine describes the model servers of a service, which process prompts and fetch versions.
type Engine struct {
	// Published holds the published figures of speed and size.
	Published balance.Server
	// Pieces is the number of pieces of a version, 0 if not known.
	Pieces int
	// MaxPrompt is the largest prompt that a server can hold, in tokens.
	MaxPrompt int
	// CopyTime is how long one copy of a version takes over a link like the origin's.
	CopyTime time.Duration
	// ActivationTime is how long it takes to put a staged version into service.
	ActivationTime time.Duration
}

// LoadReport is an agent's report on its model server.
type LoadReport struct {
	Address string
	// Reachable is false while the server does not answer on its own machine.
	Reachable bool
	// Version is the version that is served complete, 0 if none.
	Version uint64
	Running int
	Waiting int
	// UnreadTokens is the total prompt size of the waiting requests, 0 if the agent does not know it.
	UnreadTokens int
	// Pace is greater than 1 when the server is slow.
	Pace float64
	// SwitchPlanned is set when the server is to switch versions, SwitchIn after the report; 0 means that it
	// is switching.
	SwitchPlanned bool
	SwitchIn      time.Duration
	// FetchingVersion is the version being fetched, MissingPieces the number of its pieces still to come.
	FetchingVersion uint64
	MissingPieces   int
	// LinkRTT is the round-trip time over the machine's link, 0 if not known.
	LinkRTT time.Duration
	// ColdFor is how much longer the server is cold, 0 if it is warm as far as the agent knows.
	ColdFor time.Duration
	// Received counts the requests that all entries have announced to the server within the window of the
	// cold rate.
	Received int
	// StartTime is that of the server's incarnation that the report is about.
	StartTime incarnation.StartTime
}

// Request holds what a request requires of a server.
type Request struct {
	Service string
	Route   string
	// Arrival says whether the caller came back after a refusal.
	Arrival shedding.Arrival
	// Engine describes the service's model servers; nil for plain servers.
	Engine *Engine
	// Figures are those of Engine, completed and corrected by Core.Figures.
	Figures balance.Server
	// Target is the promised time to the first event, or to the complete answer.
	Target time.Duration
	// Streaming requests are answered in events.
	Streaming bool
	// AtMostOnce is set when the request must not be executed twice.
	AtMostOnce bool
	// LastAttempt is set when no attempt would follow a failed one, for lack of time, attempts or retry
	// budget.
	LastAttempt bool
	// TimeRemaining is what remains of the caller's time, 0 if it is unlimited.
	TimeRemaining time.Duration
	// MinOverdueTime is the minimum silence after which an answer can be overdue.
	MinOverdueTime time.Duration
	// OtherEntries is the number of other entries that may be sending to the service's servers.
	OtherEntries int
	// Prompt and Answer are sizes in tokens.
	Prompt int
	Answer int
	// Tried holds the servers that the request was sent to before.
	Tried []*Candidate
	// Excluded holds the IDs of servers that must not get this request, though others may use them.
	Excluded []string
	// Queried holds the servers whose agents were just queried; if it is empty, all servers are candidates.
	Queried []*Candidate
	// MinVersion and ExactVersion restrict the version; zero does not.
	MinVersion   uint64
	ExactVersion uint64
	// VersionDeadlines end the use of older versions.
	VersionDeadlines VersionDeadlines
	// Residency restricts the regions of the servers.
	Residency residency.Residency
	// Resumed requests are not refused for load: they have been admitted before.
	Resumed bool
}

// VersionDeadline is the time until which a server with a version older than Version may begin requests.
type VersionDeadline struct {
	Version uint64
	Until   time.Time
}

// VersionDeadlines holds the deadlines of a model's announced versions, the newest last.
type VersionDeadlines []VersionDeadline

// For returns the time until which a server with the given version may begin requests, and false if no newer
// version is announced.
func (d VersionDeadlines) For(version uint64) (time.Time, bool) {
	for _, deadline := range d {
		if deadline.Version > version {
			return deadline.Until, true
		}
	}
	return time.Time{}, false
}

// Decision is the server selected for a request, with the figures behind the selection.
type Decision struct {
	Candidate *Candidate
	// Send identifies the request at the server in later calls.
	Send        *Send
	Outstanding int
	Load        balance.Load
	// ReportAge is the age of the agent's report, NoReport if there is none.
	ReportAge time.Duration
	// Considered is the number of usable servers.
	Considered int
	// Expected is the predicted time until the answer begins.
	Expected time.Duration
	// startByLoad is the part of Expected that the server's load explains.
	startByLoad time.Duration
	// Version is the version that the server is known to have, 0 if none.
	Version uint64
	// Trial is set when the request is the trial of a server that was ejected or that its agent cannot reach.
	Trial bool
	// OverdueAfter is the silence after which an answer that has not begun is overdue; 0 leaves it to the
	// caller.
	OverdueAfter time.Duration
	Admission    Admission
}

// Admission holds the figures by which a request was admitted or refused at the chosen or soonest server.
type Admission struct {
	// IdleTimeToFirstEvent is when the server would begin the request if it were idle.
	IdleTimeToFirstEvent time.Duration
	// Wait is how long the request would queue there, Lateness the part of it due to the server's recent late
	// starts, and MaxWait its limit.
	Wait     time.Duration
	Lateness time.Duration
	MaxWait  time.Duration
	// Margin is the learned margin for late starts, as a fraction of the target.
	Margin float64
}

// RefusalReason is why a request is sent to no server.
type RefusalReason int

// Reasons of refusals.
const (
	// RefusedNoServer: no server is eligible.
	RefusedNoServer RefusalReason = iota
	// RefusedResidency: no server in the allowed regions is eligible, and one elsewhere is.
	RefusedResidency
	// RefusedOverload: at each eligible server the request would queue too long.
	RefusedOverload
)

// Refusal is the decision to send a request to no server now.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the earliest time at which the request may be served.
	RetryAfter time.Duration
	// Servers counts the service's servers by eligibility.
	Servers map[Eligibility]int
	// Admission holds the figures of the soonest eligible server; zero unless overloaded.
	Admission Admission
	// OldestReport is the age of the oldest report of an agent.
	OldestReport time.Duration
	// opensIn is the time until the first server opens that is excluded only by its notices.
	opensIn time.Duration
}
