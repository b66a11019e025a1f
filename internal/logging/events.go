// Package logging writes structured, numbered events. Each event has a stable
// number and is documented in docs/EVENTS.md; a test keeps the two consistent.
package logging

import (
	"io"
	"log"
	"os"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a log event of the catalogue.
type Event struct {
	// Number is the stable identifier, for example "PV1001".
	Number string
	// Level is the severity the event is written with.
	Level zapcore.Level
	// Message is the constant text of the event.
	Message string
	// Meaning explains the event to operators and is copied to docs/EVENTS.md.
	Meaning string
}

// Catalogue lists every event in order of number.
var Catalogue []Event

func define(number string, level zapcore.Level, message, meaning string) Event {
	event := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	Catalogue = append(Catalogue, event)
	return event
}

// The events of pinevane: 1xxx processes, 2xxx configuration and membership,
// 3xxx weights and activation, 4xxx requests
// (41xx decisions on a request, 42xx state of servers), 5xxx emulators.
var (
	ProcessStarted         = define("PV1001", zap.InfoLevel, "process started", "The process has read its settings and is listening.")
	ProcessStopping        = define("PV1002", zap.InfoLevel, "process stopping", "A stop signal was received; readiness is off and open requests continue.")
	ProcessDraining        = define("PV1003", zap.InfoLevel, "requests still open", "Logged while a stopping process waits for its open requests, every few seconds or when its grace period ends before them.")
	ProcessStopped         = define("PV1004", zap.InfoLevel, "process stopped", "Open requests have finished, or the grace period is over; the process exits.")
	ProcessPaused          = define("PV1005", zap.WarnLevel, "process was paused", "The clock jumped; leases are invalid, and state is read again before the process acts on it.")
	SettingsReloaded       = define("PV1006", zap.InfoLevel, "settings reloaded", "The settings were reloaded and are in effect; the fields list the zones that were added, removed or moved to another region, and whether the bounds have changed.")
	SettingsRejected       = define("PV1007", zap.ErrorLevel, "settings rejected", "The reloaded settings are invalid; the previous ones stay in effect.")
	ListenFailed           = define("PV1008", zap.WarnLevel, "address not available", "The process can't listen on an administration address; it continues without it.")
	HTTPServerError        = define("PV1009", zap.DebugLevel, "HTTP server error", "The HTTP library reported a connection error.")
	LinesDropped           = define("PV1010", zap.WarnLevel, "log lines dropped", "The log buffer was full; the field holds the number of dropped lines.")
	RestartRequired        = define("PV1011", zap.WarnLevel, "restart required", "The reloaded settings differ in fields that a running process can't apply; it keeps the values that it was started with.")
	PeerConnected          = define("PV1101", zap.DebugLevel, "peer connected", "A connection to another process was established.")
	PeerLost               = define("PV1102", zap.InfoLevel, "peer disconnected", "A connection to another process was closed; the reason is in the field error.")
	FrameRejected          = define("PV1103", zap.WarnLevel, "frame rejected", "A message from another process could not be decoded and was dropped.")
	ConnectionSilent       = define("PV1104", zap.WarnLevel, "connection silent", "An open connection received nothing while a new one worked; all connections at least as old are closed.")
	LinkKept               = define("PV1105", zap.DebugLevel, "connection kept", "A connection that was silent for a short time was not replaced; the reason is in the field error.")
	SnapshotAccepted       = define("PV2001", zap.InfoLevel, "configuration accepted", "A newer revision was validated completely and is in effect.")
	SnapshotRejected       = define("PV2002", zap.ErrorLevel, "configuration rejected", "A revision is invalid; the last valid one stays in effect.")
	SnapshotStale          = define("PV2003", zap.WarnLevel, "stale configuration ignored", "A source offered a revision older than the one in effect.")
	ServiceUnreachable     = define("PV2004", zap.WarnLevel, "platform service unreachable", "The configuration or membership service did not respond; the last known state is used.")
	ServiceRecovered       = define("PV2005", zap.InfoLevel, "platform service recovered", "A service that had not responded responds again.")
	HistoryCompacted       = define("PV2006", zap.WarnLevel, "history compacted", "The store no longer has the changes that a watch requested, or they are too long for one answer (field too_long); its records are listed again.")
	FiguresMissing         = define("PV2007", zap.WarnLevel, "engine figures missing", "The configuration lacks performance figures of a service's model servers; estimates from their responses are used instead.")
	RegionsInvalid         = define("PV2008", zap.WarnLevel, "allowed regions invalid", "The configuration allows requests in a region that no zone has, or lists one twice; the field fault says which. Such a name allows no server; the rest of the configuration is in effect.")
	ZoneEvacuated          = define("PV2009", zap.InfoLevel, "zone evacuated", "The operator has evacuated a zone, so its servers are sent no new requests; the fields hold its number of servers and the number of this entry's open requests there.")
	EvacuationEnded        = define("PV2010", zap.InfoLevel, "evacuation ended", "The servers of a zone are sent requests again, as cold servers for a while.")
	EvacuationInvalid      = define("PV2011", zap.WarnLevel, "evacuation invalid", "The record of an evacuation can't be decoded, or names a zone that the fleet does not have; one that names a zone is in effect nevertheless.")
	ServicesAnnounced      = define("PV2012", zap.InfoLevel, "services announced", "An entry sent this agent the services of a newer configuration.")
	ZoneIdle               = define("PV2013", zap.InfoLevel, "evacuated zone idle", "The last open request of this entry in an evacuated zone has ended.")
	RecordInvalid          = define("PV2014", zap.WarnLevel, "record invalid", "The record of a server is invalid and is ignored until it is valid again; logged once for each reason while that lasts.")
	StoreRestored          = define("PV2015", zap.WarnLevel, "store epoch changed", "The store states another epoch than before: it came back from a copy of itself, so that its revisions went back. The fields hold both epochs, from whom the new one is known, and the revision up to which this process had the changes of the former one.")
	StoreEpochInvalid      = define("PV2016", zap.WarnLevel, "store epoch invalid", "The store states an epoch that is no number, or several; it counts as none.")
	OlderRecordsIgnored    = define("PV2017", zap.WarnLevel, "older records ignored", "An answer of the store held records that are older than the ones held, which stay; the fields hold their number, the first key, its held and its offered revision, and the revision of the answer.")
	MembershipChanged      = define("PV2101", zap.DebugLevel, "membership changed", "A new membership list was received.")
	RelayElected           = define("PV2102", zap.InfoLevel, "relay role changed", "This process started or stopped reading the platform's store for its zone.")
	VersionAnnounced       = define("PV3000", zap.InfoLevel, "weights announced", "The operator has announced a newer version of a model's weights.")
	RolloutDetected        = define("PV3001", zap.InfoLevel, "model version detected", "The configuration names a manifest that this machine does not serve yet.")
	ManifestFetched        = define("PV3002", zap.InfoLevel, "manifest verified", "The manifest of the version was received and matches the digest in the configuration.")
	ChunkCorrupt           = define("PV3003", zap.WarnLevel, "corrupt chunk discarded", "Received bytes do not match their digest; the source is avoided for a while.")
	ChunkStalled           = define("PV3004", zap.WarnLevel, "transfer stalled", "A transfer made too little progress and was abandoned for another source.")
	WeightsStaged          = define("PV3005", zap.InfoLevel, "weights staged", "Every chunk of the version is verified in the local weight store.")
	OrderSent              = define("PV3006", zap.InfoLevel, "order sent to engine", "A fenced order was sent to the engine.")
	OrderRefused           = define("PV3007", zap.ErrorLevel, "order rejected by engine", "The engine rejected an order; the old version stays in service.")
	VersionLive            = define("PV3008", zap.InfoLevel, "version live", "The engine answered a probe with the new version; requests are admitted to it.")
	RolloutReplaced        = define("PV3009", zap.WarnLevel, "rollout replaced", "The configuration names another version; the transfer is abandoned and shared chunks are kept.")
	EngineRestarted        = define("PV3010", zap.WarnLevel, "engine restarted", "The engine reports a new incarnation; its models are loaded again.")
	ChunksNotDeleted       = define("PV3011", zap.WarnLevel, "chunks not deleted", "The weight store did not delete all chunks that no version needs; they are deleted after the next version is unloaded.")
	TransferStarted        = define("PV3101", zap.InfoLevel, "transfer started", "The manifest is known and the pieces staged at the server are verified; the remaining ones are being fetched.")
	OriginFailed           = define("PV3102", zap.WarnLevel, "origin failed", "The origin of weights returned no manifest; the request is retried.")
	ManifestMismatch       = define("PV3103", zap.WarnLevel, "manifest mismatch", "The origin's pieces do not match the manifest, which is fetched again.")
	PiecesCorrupt          = define("PV3104", zap.WarnLevel, "staged pieces corrupt", "Pieces at the server no longer match their digests; they are fetched again before the order.")
	OrderAccepted          = define("PV3105", zap.InfoLevel, "order accepted", "The server has accepted the order.")
	OrderUnanswered        = define("PV3106", zap.WarnLevel, "order unanswered", "The response to the order was lost; the server's status is read again.")
	OrderResolved          = define("PV3107", zap.InfoLevel, "order resolved", "The server's order count shows whether the unanswered order was accepted.")
	EngineUnreachable      = define("PV3108", zap.WarnLevel, "model server unreachable", "The machine's own server does not respond.")
	EngineReachable        = define("PV3109", zap.InfoLevel, "model server reachable", "The machine's own server responds.")
	FallbackStarted        = define("PV3110", zap.InfoLevel, "older version fetched first", "The server serves nothing and the newest version takes long; an older one that may still start requests is fetched from peers.")
	StagingFailed          = define("PV3111", zap.WarnLevel, "staging failed", "The machine's own server did not accept a piece that is kept in memory; it is retried.")
	VersionAnnouncedLate   = define("PV3112", zap.WarnLevel, "weights announced earlier", "An announcement of weights was received late, so that only a bound of its age is known: the time since the copy was last complete, or an assumption of a process that has just started.")
	VersionExpired         = define("PV3113", zap.WarnLevel, "old version expired", "The deadline of the served version has passed and the newest one is not complete here: complete layers of it, of a version in between, or of the previous one are ordered, so that the server starts no more requests on the old one.")
	VersionNotReplaced     = define("PV3114", zap.WarnLevel, "expired version not replaced", "The deadline of the served version has passed and no layer of another version is complete here: only the entries keep requests from the server.")
	OlderTransferKept      = define("PV3115", zap.InfoLevel, "older transfer kept", "A newer version was announced during the transfer of an older one, which continues as long as the newest would not arrive in time.")
	ServerRestarted        = define("PV3116", zap.InfoLevel, "model server restarted", "The machine's own server has restarted; the state of its previous incarnation is dropped, and what is staged at it is read again.")
	OrderWithheld          = define("PV3117", zap.WarnLevel, "order withheld", "The agent stood still between reading the staged pieces and sending the order, so that they may have turned corrupt since; they are verified again.")
	OrderReviewed          = define("PV3118", zap.WarnLevel, "late order reviewed", "An order was taken more than 3 s after its pieces were read, because the agent or the server stood still, so that they were read again. If some are corrupt, or can't be read, the server is kept from requests until it has loaded them anew.")
	RequestRefused         = define("PV4001", zap.DebugLevel, "request refused", "A request was refused; the reason code and execution are in the fields.")
	RequestRetried         = define("PV4002", zap.DebugLevel, "request retried", "An attempt that certainly did not run was sent to another replica.")
	StreamResumed          = define("PV4003", zap.InfoLevel, "stream resumed", "A stream continues on another replica of the same version after its last delivered token.")
	OutcomeUnknown         = define("PV4004", zap.WarnLevel, "outcome unknown", "A non-repeatable attempt may have run; it is not retried.")
	WrongVersion           = define("PV4005", zap.ErrorLevel, "engine answered with another version", "A response carried another version than the attempt was pinned to; it was withheld.")
	RequestSent            = define("PV4101", zap.InfoLevel, "request sent", "A request was sent to a server; the fields hold the inputs of the choice and their ages, and the parts of its prompt that others may share.")
	RequestAnswered        = define("PV4102", zap.InfoLevel, "request answered", "A request ended with a server's response.")
	RequestDenied          = define("PV4103", zap.InfoLevel, "request denied", "A request has no route or no known key in the configuration in effect.")
	RequestFailed          = define("PV4104", zap.InfoLevel, "request failed", "A request was answered by the entry itself; reason and execution are in the fields.")
	AttemptFailed          = define("PV4105", zap.InfoLevel, "attempt failed", "A server gave no usable response to an attempt; the fields say whether it may have run.")
	RetryDenied            = define("PV4106", zap.InfoLevel, "retry denied", "A request was not retried: its attempts, budget or time are used up, or it may have run.")
	StreamCut              = define("PV4107", zap.WarnLevel, "stream cut", "A stream ended before its last event and could not be resumed.")
	CallerLeft             = define("PV4108", zap.InfoLevel, "caller disconnected", "The caller closed its connection; the work at the server is canceled.")
	NoServerChosen         = define("PV4109", zap.InfoLevel, "no server chosen", "A request was sent to no server; the fields count the servers by the reason of their exclusion, and hold the shortest estimated wait.")
	RequestQuarantined     = define("PV4110", zap.InfoLevel, "request quarantined", "A request was sent to no server because servers have crashed under its fingerprint or a part of its prompt; the fields hold the part, the state, which servers, and for how long.")
	RequestUnanswered      = define("PV4111", zap.WarnLevel, "request unanswered", "A caller's connection ends without a complete response; the field cause says why: aborted, caller left, panic, stop or write timeout.")
	HandlerPanicked        = define("PV4112", zap.ErrorLevel, "request handler panicked", "A request's handler ended by a panic, which is a bug; the fields hold the panic and its stack. The caller gets 500, or its connection is closed if a response has begun.")
	HedgeCanceled          = define("PV4113", zap.InfoLevel, "second attempt canceled", "A second attempt, made beside one whose server had fallen silent, has ended because the first server has gone on or the request has ended.")
	UnmarkedEnd            = define("PV4114", zap.WarnLevel, "answer not known to be whole", "An answer without a length has ended with its connection, and its server has ended too (proof crashed: its machine refuses connections, or another instance answers there), or has not shown in time that it runs on (unconfirmed). The answer counts as cut.")
	RetryAccountReceived   = define("PV4115", zap.InfoLevel, "account of retries received", "Another process has told what the former process of this entry had counted for a service's retry budget; the budget goes on with it (result resumed), or the account was made too long before this process started (too old).")
	MalformedHead          = define("PV4116", zap.WarnLevel, "malformed head", "A server answered a question of the entry itself, such as who it is, with a head that is none of HTTP: a status that does not exist, or a name of a field that is no token. The answer counts for nothing. An attempt that gets such a head fails (PV4105).")
	ServerLeaving          = define("PV4201", zap.InfoLevel, "server leaving", "The server list shows that a server is draining; it is sent no more requests.")
	ServerRemoved          = define("PV4202", zap.InfoLevel, "server removed", "A server was removed from the list; it is sent no more requests.")
	ServerStatus           = define("PV4203", zap.InfoLevel, "server status changed", "An agent reports another version or reachability of its server; logged by the entries that the agent reports to.")
	ServerEjected          = define("PV4204", zap.WarnLevel, "server ejected", "A server has failed more than the others of its service and is sent no requests for a while; the fields hold the evidence of this entry, or the entry of the zone that reported it.")
	ServerReadmitted       = define("PV4205", zap.InfoLevel, "server readmitted", "An ejected server has passed its trials and is in use again; the field entry names the entry that reported it.")
	ServerSuperseded       = define("PV4206", zap.InfoLevel, "server superseded", "Another server has responded at a server's address; the old one has stopped.")
	ServerRecordExpired    = define("PV4207", zap.InfoLevel, "server record expired", "The list lost a server around an outage of the store; it is kept until servers have written their records again.")
	ConnectionsSilent      = define("PV4208", zap.WarnLevel, "connections silent", "Connections to servers have become silent while new ones work; they are closed, as are idle ones of at least their age.")
	ServerTrial            = define("PV4209", zap.InfoLevel, "server trial", "A request is sent to a server that is ejected, or that its agent can't reach, as a trial; the zone sends one trial at a time.")
	ServerCrashed          = define("PV4210", zap.WarnLevel, "server crashed under requests", "Connections to a server broke and its machine refuses new ones; the fingerprints of this entry's open requests there, and the parts of their prompts, are suspected of the crash.")
	FingerprintQuarantined = define("PV4211", zap.WarnLevel, "fingerprint quarantined", "A fingerprint, or a part of prompts, has crashed the servers that ran it and is sent to none for the given time; the fields hold the last servers and the entry that detected it.")
	FingerprintReleased    = define("PV4212", zap.InfoLevel, "fingerprint released", "A quarantine has ended before its time: a server has answered a request with the fingerprint, or an operator has released it.")
	ServerLimit            = define("PV4213", zap.InfoLevel, "server limit changed", "A server sets in its responses how many requests a second it takes from all entries together, or changes or removes this limit; share is what this entry may send it in four seconds.")
	ResponseHeaderInvalid  = define("PV4214", zap.WarnLevel, "response header invalid", "A header in a server's response has an invalid value; the previous value is kept. Logged once for each server.")
	ServerAnnouncedLeaving = define("PV4215", zap.InfoLevel, "server announced leaving", "A server has announced in a response that it is about to stop; it is sent no more requests.")
	ServerBackoff          = define("PV4216", zap.InfoLevel, "server requested backoff", "A server has refused a request and asked this entry to send it no requests for the given time.")
	EmulatorStarted        = define("PV5001", zap.InfoLevel, "emulator started", "An emulated platform service or machine is listening.")
	FaultInjected          = define("PV5002", zap.InfoLevel, "fault injected", "An experiment changed the fault state of an emulator.")
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
// slow reader never blocks the process, and lines that don't fit into the buffer
// are dropped and counted.
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

// Standard returns a standard library logger that writes each line as an event.
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

// Sync flushes buffered entries; errors are ignored, as nothing can handle them at exit.
func (l *Logger) Sync() {
	_ = l.zap.Sync()
	if l.output != nil {
		l.output.flush()
	}
}
