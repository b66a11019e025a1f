// Package logging writes structured, numbered events. Each event has a stable
// number catalogued in docs/EVENTS.md; a test keeps the two in step.
package logging

import (
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
// 3xxx weights and activation, 4xxx requests, 5xxx stand-ins.
var (
	ProcessStarted    = declare("PV1001", zap.InfoLevel, "process started", "The process has read its settings and listens.")
	ProcessStopping   = declare("PV1002", zap.InfoLevel, "process stopping", "A stop signal arrived; readiness is off, open work continues.")
	ProcessDraining   = declare("PV1003", zap.InfoLevel, "work still open", "Written every few seconds while a stopping process finishes its open work.")
	ProcessStopped    = declare("PV1004", zap.InfoLevel, "process stopped", "All open work is finished; the process ends.")
	ProcessPaused     = declare("PV1005", zap.WarnLevel, "process was paused", "The clock jumped; leases are void and views are read again before acting.")
	PeerConnected     = declare("PV1101", zap.DebugLevel, "peer connected", "A link to another process is up.")
	PeerLost          = declare("PV1102", zap.InfoLevel, "peer lost", "A link to another process closed; the reason is in the field error.")
	FrameRejected     = declare("PV1103", zap.WarnLevel, "frame rejected", "A message from another process could not be decoded and was dropped.")
	SnapshotAccepted  = declare("PV2001", zap.InfoLevel, "configuration accepted", "A newer revision was checked whole and is in force.")
	SnapshotRejected  = declare("PV2002", zap.ErrorLevel, "configuration rejected", "A revision has faults; the last good one stays in force.")
	SnapshotStale     = declare("PV2003", zap.WarnLevel, "stale configuration ignored", "A source offered an older revision than the one in force.")
	ServiceUnreached  = declare("PV2004", zap.WarnLevel, "platform service unreachable", "The configuration or membership service did not answer; the last known state is used.")
	MembershipChanged = declare("PV2101", zap.DebugLevel, "membership changed", "A new membership list arrived.")
	RelayElected      = declare("PV2102", zap.InfoLevel, "relay role changed", "This process began or ceased to read the platform for its zone.")
	RolloutNoticed    = declare("PV3001", zap.InfoLevel, "model version noticed", "The configuration names a manifest that this machine does not serve yet.")
	ManifestFetched   = declare("PV3002", zap.InfoLevel, "manifest verified", "The manifest of the version is here and matches the digest in the configuration.")
	ChunkCorrupt      = declare("PV3003", zap.WarnLevel, "corrupt chunk discarded", "Received bytes do not match their digest; the source is distrusted for a while.")
	ChunkStalled      = declare("PV3004", zap.WarnLevel, "transfer stalled", "A transfer made too little progress and was abandoned for another source.")
	WeightsStaged     = declare("PV3005", zap.InfoLevel, "weights staged", "Every chunk of the version is verified in the local weight store.")
	OrderSent         = declare("PV3006", zap.InfoLevel, "order sent to engine", "A fenced order was given to the engine.")
	OrderRefused      = declare("PV3007", zap.ErrorLevel, "order refused by engine", "The engine refused an order; the old version stays live.")
	VersionLive       = declare("PV3008", zap.InfoLevel, "version live", "The engine answered a probe with the new version; requests are admitted to it.")
	RolloutAborted    = declare("PV3009", zap.WarnLevel, "rollout replaced", "The configuration names another version; the transfer is abandoned and shared chunks are kept.")
	EngineRestarted   = declare("PV3010", zap.WarnLevel, "engine restarted", "The engine reports a new incarnation; its models are loaded again.")
	RequestRefused    = declare("PV4001", zap.DebugLevel, "request refused", "A request was refused; the reason code and execution are in the fields.")
	RequestRetried    = declare("PV4002", zap.DebugLevel, "request retried", "An attempt provably did not run and was sent to another replica.")
	StreamResumed     = declare("PV4003", zap.InfoLevel, "stream resumed", "A stream continues on another replica of the same version after its last delivered token.")
	OutcomeUnknown    = declare("PV4004", zap.WarnLevel, "outcome unknown", "A non-repeatable attempt may have run; it is not tried again.")
	WrongVersion      = declare("PV4005", zap.ErrorLevel, "engine answered with another version", "An answer carried another version than the attempt was pinned to; it was withheld.")
	StandInStarted    = declare("PV5001", zap.InfoLevel, "stand-in started", "An emulated platform service or machine listens.")
	FaultInjected     = declare("PV5002", zap.InfoLevel, "fault injected", "An experiment changed the fault state of a stand-in.")
)

// Logger writes catalogued events.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes JSON lines to standard error.
// The level is one of debug, info, warn, error.
func New(level zapcore.Level, process string) (*Logger, error) {
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = nil
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	base, err := config.Build()
	if err != nil {
		return nil, err
	}
	return &Logger{zap: base.With(zap.String("process", process))}, nil
}

// Nop returns a logger that discards everything.
func Nop() *Logger { return &Logger{zap: zap.NewNop()} }

// Log writes one event with its fields.
func (l *Logger) Log(event Event, fields ...zap.Field) {
	if entry := l.zap.Check(event.Level, event.Message); entry != nil {
		entry.Write(append([]zap.Field{zap.String("event", event.Number)}, fields...)...)
	}
}

// Sync flushes buffered entries; its error is of no use at exit and is dropped.
func (l *Logger) Sync() { _ = l.zap.Sync() }
