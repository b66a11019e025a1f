// Package logging writes structured, numbered events. Each event has a stable
// number catalogued in docs/EVENTS.md; a test keeps the two in step.
package logging

import (
	"io"
	"log"
	"os"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one catalogued log event.
type Event struct {
	// Number is the stable identifier, for example "PV1001".
	Number string
	// Level is the severity the event is written with.
	Level zapcore.Level
	// Message is the constant text.
	Message string
	// Meaning explains the event to operators and is copied to the catalogue.
	Meaning string
}

// Catalogue lists every event in order of number.
var Catalogue []Event

func declare(number string, level zapcore.Level, message, meaning string) Event {
	event := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	Catalogue = append(Catalogue, event)
	return event
}

// The events of pinevane: 1xxx processes, 2xxx configuration and membership,
// 3xxx weights and activation, 4xxx requests
// (41xx decisions on a request, 42xx beliefs about servers), 5xxx stand-ins.
var (
	ProcessStarted         = declare("PV1001", zap.InfoLevel, "process started", "The process has read its settings and listens.")
	ProcessStopping        = declare("PV1002", zap.InfoLevel, "process stopping", "A stop signal arrived; readiness is off, open work continues.")
	ProcessDraining        = declare("PV1003", zap.InfoLevel, "work still open", "Written every few seconds while a stopping process finishes its open work.")
	ProcessStopped         = declare("PV1004", zap.InfoLevel, "process stopped", "All open work is finished; the process ends.")
	ProcessPaused          = declare("PV1005", zap.WarnLevel, "process was paused", "The clock jumped; leases are void and views are read again before acting.")
	SettingsReloaded       = declare("PV1006", zap.InfoLevel, "settings reloaded", "The settings were read again and are in force; the fields tell which zones have come, gone or changed their region, and whether bounds have changed.")
	SettingsRejected       = declare("PV1007", zap.ErrorLevel, "settings refused", "The settings were read again and have a fault; those before stay in force.")
	ListenFailed           = declare("PV1008", zap.WarnLevel, "address not available", "An administration address can't be listened on; the process goes on without it.")
	HTTPServerError        = declare("PV1009", zap.DebugLevel, "connection trouble", "The HTTP library met a broken connection.")
	LinesDropped           = declare("PV1010", zap.WarnLevel, "log lines dropped", "The log's buffer was full; the field tells how many lines were dropped.")
	RestartRequired        = declare("PV1011", zap.WarnLevel, "restart needed", "The settings were read again and differ in fields that a running process can't take over; it goes on with those it was started with.")
	PeerConnected          = declare("PV1101", zap.DebugLevel, "peer connected", "A link to another process is up.")
	PeerLost               = declare("PV1102", zap.InfoLevel, "peer lost", "A link to another process closed; the reason is in the field error.")
	FrameRejected          = declare("PV1103", zap.WarnLevel, "frame rejected", "A message from another process could not be decoded and was dropped.")
	ConnectionSilent       = declare("PV1104", zap.WarnLevel, "connection silent", "An open connection brought nothing while a fresh one worked; all as old as it are given up.")
	LinkKept               = declare("PV1105", zap.DebugLevel, "link kept", "A link that was silent for a short time was not made anew; the reason is in the field error.")
	SnapshotAccepted       = declare("PV2001", zap.InfoLevel, "configuration accepted", "A newer revision was checked whole and is in force.")
	SnapshotRejected       = declare("PV2002", zap.ErrorLevel, "configuration rejected", "A revision has faults; the last good one stays in force.")
	SnapshotStale          = declare("PV2003", zap.WarnLevel, "stale configuration ignored", "A source offered an older revision than the one in force.")
	ServiceUnreachable     = declare("PV2004", zap.WarnLevel, "platform service unreachable", "The configuration or membership service did not answer; the last known state is used.")
	ServiceRecovered       = declare("PV2005", zap.InfoLevel, "platform service reached again", "A service that did not answer answers again.")
	HistoryCompacted       = declare("PV2006", zap.WarnLevel, "history forgotten", "The store no longer knows the changes that a watch asked for; its records are listed anew.")
	FiguresMissing         = declare("PV2007", zap.WarnLevel, "figures missing", "The configuration lacks figures of a service's model servers; what their answers show is used instead.")
	RegionsInvalid         = declare("PV2008", zap.WarnLevel, "allowed regions doubtful", "The configuration allows requests in a region that no zone has, or names one twice; the field fault tells which. Such a name allows no server, and all else of the configuration is in force.")
	ZoneEvacuated          = declare("PV2009", zap.InfoLevel, "zone evacuated", "The operator asks that the servers of a zone are sent nothing new; the fields tell how many servers it has and how many requests of this entry are open there.")
	EvacuationEnded        = declare("PV2010", zap.InfoLevel, "evacuation taken back", "The servers of a zone are sent requests again, as cold ones for a while.")
	EvacuationInvalid      = declare("PV2011", zap.WarnLevel, "evacuation faulty", "The record of an evacuation can't be read, or names a zone that the fleet does not have; one that names a zone is in force all the same.")
	ServicesAnnounced      = declare("PV2012", zap.InfoLevel, "services told", "An entry told this agent the services of a newer configuration.")
	ZoneIdle               = declare("PV2013", zap.InfoLevel, "evacuated zone idle", "The last request of this entry that was open in an evacuated zone has ended.")
	RecordInvalid          = declare("PV2014", zap.WarnLevel, "record faulty", "The record of a server can't be used and names none until it is sound; it is logged once for each reason while that lasts.")
	MembershipChanged      = declare("PV2101", zap.DebugLevel, "membership changed", "A new membership list arrived.")
	RelayElected           = declare("PV2102", zap.InfoLevel, "relay role changed", "This process began or ceased to read the platform for its zone.")
	VersionAnnounced       = declare("PV3000", zap.InfoLevel, "weights named", "The operator has named a newer version of a model's weights.")
	RolloutDetected        = declare("PV3001", zap.InfoLevel, "model version noticed", "The configuration names a manifest that this machine does not serve yet.")
	ManifestFetched        = declare("PV3002", zap.InfoLevel, "manifest verified", "The manifest of the version is here and matches the digest in the configuration.")
	ChunkCorrupt           = declare("PV3003", zap.WarnLevel, "corrupt chunk discarded", "Received bytes do not match their digest; the source is distrusted for a while.")
	ChunkStalled           = declare("PV3004", zap.WarnLevel, "transfer stalled", "A transfer made too little progress and was abandoned for another source.")
	WeightsStaged          = declare("PV3005", zap.InfoLevel, "weights staged", "Every chunk of the version is verified in the local weight store.")
	OrderSent              = declare("PV3006", zap.InfoLevel, "order sent to engine", "A fenced order was given to the engine.")
	OrderRefused           = declare("PV3007", zap.ErrorLevel, "order refused by engine", "The engine refused an order; the old version stays live.")
	VersionLive            = declare("PV3008", zap.InfoLevel, "version live", "The engine answered a probe with the new version; requests are admitted to it.")
	RolloutReplaced        = declare("PV3009", zap.WarnLevel, "rollout replaced", "The configuration names another version; the transfer is abandoned and shared chunks are kept.")
	EngineRestarted        = declare("PV3010", zap.WarnLevel, "engine restarted", "The engine reports a new incarnation; its models are loaded again.")
	TransferStarted        = declare("PV3101", zap.InfoLevel, "transfer begun", "The manifest is known and what lies at the server has been verified; the rest is being fetched.")
	OriginFailed           = declare("PV3102", zap.WarnLevel, "origin failed", "The origin of weights gave no manifest; it is asked again.")
	ManifestMismatch       = declare("PV3103", zap.WarnLevel, "manifest doubted", "The origin's pieces do not match the manifest; it is fetched anew.")
	PiecesCorrupt          = declare("PV3104", zap.WarnLevel, "staged pieces spoilt", "Pieces at the server do not match their digests any more; they are fetched again before the order.")
	OrderAccepted          = declare("PV3105", zap.InfoLevel, "order taken", "The server has taken the order.")
	OrderUnanswered        = declare("PV3106", zap.WarnLevel, "order unanswered", "The order's answer was lost; the server's state is read again.")
	OrderResolved          = declare("PV3107", zap.InfoLevel, "order's fate known", "The server's count of orders tells whether the unanswered order was taken.")
	EngineUnreachable      = declare("PV3108", zap.WarnLevel, "model server lost", "The machine's own server does not answer.")
	EngineReachable        = declare("PV3109", zap.InfoLevel, "model server reached", "The machine's own server answers.")
	FallbackStarted        = declare("PV3110", zap.InfoLevel, "older version fetched first", "The server serves nothing and the newest version is long in coming; an older one that may still begin requests is fetched from peers.")
	StagingFailed          = declare("PV3111", zap.WarnLevel, "staging failed", "The machine's own server did not take a piece that was kept in memory; it is tried again.")
	VersionAnnouncedLate   = declare("PV3112", zap.WarnLevel, "weights named earlier", "A naming of weights was heard of late, so that its age is known only as a bound: the time since the copy was last complete, or an assumption of a process that has just started.")
	VersionExpired         = declare("PV3113", zap.WarnLevel, "old version ended", "The time of the version served is over and the newest one is not here whole: whole layers of it, of a version between, or of the one before are ordered, so that the server begins nothing more on the old one.")
	ExpiredVersionServed   = declare("PV3114", zap.WarnLevel, "old version not ended", "The time of the version served is over and no layer of another one is here whole: only the entries keep requests from the server.")
	OlderTransferKept      = declare("PV3115", zap.InfoLevel, "older version kept", "A newer version is named while an older one is on its way; its transfer goes on as long as the newest does not come in time.")
	ServerRestarted        = declare("PV3116", zap.InfoLevel, "model server restarted", "The machine's own server has started again; what was known of its former incarnation is dropped, and what lies at it is read anew.")
	RequestRefused         = declare("PV4001", zap.DebugLevel, "request refused", "A request was refused; the reason code and execution are in the fields.")
	RequestRetried         = declare("PV4002", zap.DebugLevel, "request retried", "An attempt provably did not run and was sent to another replica.")
	StreamResumed          = declare("PV4003", zap.InfoLevel, "stream resumed", "A stream continues on another replica of the same version after its last delivered token.")
	OutcomeUnknown         = declare("PV4004", zap.WarnLevel, "outcome unknown", "A non-repeatable attempt may have run; it is not tried again.")
	WrongVersion           = declare("PV4005", zap.ErrorLevel, "engine answered with another version", "An answer carried another version than the attempt was pinned to; it was withheld.")
	RequestSent            = declare("PV4101", zap.InfoLevel, "request sent", "A request was sent to a server; the fields tell the choice's inputs with their ages.")
	RequestAnswered        = declare("PV4102", zap.InfoLevel, "request answered", "A request ended with a server's answer.")
	RequestDenied          = declare("PV4103", zap.InfoLevel, "request denied", "A request has no route or no known key in the configuration in force.")
	RequestFailed          = declare("PV4104", zap.InfoLevel, "request given up", "A request was answered by the entry itself; reason and execution are in the fields.")
	AttemptFailed          = declare("PV4105", zap.InfoLevel, "attempt failed", "A server gave no usable answer to an attempt; the fields tell whether it may have run.")
	RetryDenied            = declare("PV4106", zap.InfoLevel, "retry withheld", "A request was not sent again: attempts, budget or time are used up, or it may have run.")
	StreamCut              = declare("PV4107", zap.WarnLevel, "stream cut", "A stream ended before its last event and could not be resumed.")
	CallerLeft             = declare("PV4108", zap.InfoLevel, "caller left", "The caller closed its connection; the work at the server is stopped.")
	NoServerChosen         = declare("PV4109", zap.InfoLevel, "no server chosen", "No server was sent a request; the fields count the servers by why not, and tell how long the soonest would have had it wait.")
	RequestQuarantined     = declare("PV4110", zap.InfoLevel, "content withheld", "A request was sent to no server because servers have ended under its content; the fields tell its state, which servers, and for how long.")
	ServerLeaving          = declare("PV4201", zap.InfoLevel, "server leaving", "The list of servers says that a server drains; it is sent nothing more.")
	ServerRemoved          = declare("PV4202", zap.InfoLevel, "server gone", "A server has left the list; it is sent nothing more.")
	ServerStatus           = declare("PV4203", zap.InfoLevel, "server status changed", "An agent reports another version or reachability of its server; written by the entries that the agent speaks with.")
	ServerEjected          = declare("PV4204", zap.WarnLevel, "server ejected", "A server has failed more than the others of its service and is sent nothing for a while; the fields tell what decided it here, or which entry of the zone told it.")
	ServerReadmitted       = declare("PV4205", zap.InfoLevel, "server returned", "A server that was ejected has served its trials and is in use again; the field entry names the one that told it.")
	ServerSuperseded       = declare("PV4206", zap.InfoLevel, "server superseded", "Another server has answered at a server's address; the old one has ended.")
	ServerRecordExpired    = declare("PV4207", zap.InfoLevel, "server lapsed", "The list lost a server around an outage of the store; it is kept until servers have written their lines anew.")
	ConnectionsSilent      = declare("PV4208", zap.WarnLevel, "connections silent", "Connections to servers have gone silent while new ones work; they are given up, and those as old that rest.")
	ServerTrial            = declare("PV4209", zap.InfoLevel, "server tried", "A request is sent to a server that was ejected, or that its agent does not reach, to find out whether it serves; the zone sends it one at a time.")
	ServerCrashed          = declare("PV4210", zap.WarnLevel, "server ended under requests", "Connections to a server broke and its machine refuses new ones; the contents that this entry had under way there are suspects of having ended it.")
	FingerprintQuarantined = declare("PV4211", zap.WarnLevel, "content quarantined", "A content has ended the servers that ran it and is sent to none until the time given; the fields name the last servers, and the entry that found it out.")
	FingerprintReleased    = declare("PV4212", zap.InfoLevel, "content cleared", "A quarantine has ended before its time: a server has answered the content, or an operator has released it.")
	ServerLimit            = declare("PV4213", zap.InfoLevel, "server limit", "A server names in its answers how many requests a second it takes from all entries together, names another rate, or none any more; share is what this entry may send it in four seconds.")
	ResponseHeaderInvalid  = declare("PV4214", zap.WarnLevel, "answer unreadable", "A field in a server's answer says something that can't be meant; what was known of the server holds on. Logged once a server.")
	ServerAnnouncedLeaving = declare("PV4215", zap.InfoLevel, "server says it leaves", "A server has said in an answer that it is about to end; it is sent nothing more.")
	ServerBackoff          = declare("PV4216", zap.InfoLevel, "server asks for rest", "A server has turned a request away and asked this entry to send it nothing for the time given.")
	EmulatorStarted        = declare("PV5001", zap.InfoLevel, "stand-in started", "An emulated platform service or machine listens.")
	FaultInjected          = declare("PV5002", zap.InfoLevel, "fault injected", "An experiment changed the fault state of a stand-in.")
)

// Logger writes catalogued events.
type Logger struct {
	zap    *zap.Logger
	output *boundedWriter
}

// New returns a logger that writes JSON lines to standard error.
// The level is one of debug, info, warn, error.
func New(level zapcore.Level, process string) (*Logger, error) {
	return newLogger(level, process, zapcore.Lock(os.Stderr)), nil
}

// NewBounded returns a logger that writes JSON lines through a bounded buffer: a
// slow reader never holds up the process, and lines that find the buffer full are
// dropped and counted.
func NewBounded(level zapcore.Level, process string, output io.Writer) *Logger {
	bounded := newBoundedWriter(output)
	logger := newLogger(level, process, bounded)
	logger.output = bounded
	bounded.onDropped = func(lines int64) { logger.Log(LinesDropped, zap.Int64("lines", lines)) }
	return logger
}

func newLogger(level zapcore.Level, process string, output zapcore.WriteSyncer) *Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), output, level)
	return &Logger{zap: zap.New(core).With(zap.String("process", process))}
}

// Nop returns a logger that discards everything.
func Nop() *Logger { return &Logger{zap: zap.NewNop()} }

// Log writes one event with its fields.
func (l *Logger) Log(event Event, fields ...zap.Field) {
	if entry := l.zap.Check(event.Level, event.Message); entry != nil {
		entry.Write(append([]zap.Field{zap.String("event", event.Number)}, fields...)...)
	}
}

// Standard returns a logger of the standard library whose lines become events.
func (l *Logger) Standard(event Event) *log.Logger {
	return log.New(lineLogger{logger: l, event: event}, "", 0)
}

type lineLogger struct {
	logger *Logger
	event  Event
}

// Write implements io.Writer.
func (w lineLogger) Write(line []byte) (int, error) {
	w.logger.Log(w.event, zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// Sync flushes buffered entries; its error is of no use at exit and is dropped.
func (l *Logger) Sync() {
	_ = l.zap.Sync()
	if l.output != nil {
		l.output.flush()
	}
}
