package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/protocol"
)

const entryRole = string(external.RoleEntry)

// maxKeptAnswers limits the recorded answers of non-repeatable calls. They are
// replayed to entries that lost their link and to callers that reuse a key.
const maxKeptAnswers = 4096

// running is an attempt that is in progress.
type running struct {
	cancel     context.CancelFunc
	link       *peering.Link
	repeatable bool
	model      string
	version    string
}

// gate is the admission control in front of the machine's engine or plain service.
type gate struct {
	node    *node.Node
	options Options
	engine  external.Engine
	service external.Service

	mutex    sync.Mutex
	ledger   *attempt.Ledger
	sessions map[*peering.Link]uint64
	running  map[attempt.ID]*running
	keys     *keyLedger
}

func newGate(base *node.Node, options Options, engine external.Engine, service external.Service) *gate {
	g := &gate{
		node: base, options: options, engine: engine, service: service,
		ledger:   attempt.NewLedger(base.Incarnation()),
		sessions: map[*peering.Link]uint64{},
		running:  map[attempt.ID]*running{},
		keys:     newKeyLedger(maxKeptAnswers),
	}
	base.Hub.OnOpen(g.openSession)
	base.Hub.OnLost(g.closeSession)
	base.Hub.Handle(protocol.TopicSubmit, g.handleSubmit)
	base.Hub.Handle(protocol.TopicCancel, g.handleCancel)
	base.Hub.Handle(protocol.TopicInquire, g.handleInquire)
	return g
}

// openCount returns the number of running attempts.
func (g *gate) openCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.running)
}

// openCountOf returns the number of attempts running on a version of a model.
func (g *gate) openCountOf(model, version string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	for _, active := range g.running {
		if active.model == model && active.version == version {
			count++
		}
	}
	return count
}

func (g *gate) openSession(link *peering.Link) {
	if link.Remote().Role != entryRole {
		return
	}
	g.mutex.Lock()
	session := g.ledger.Open()
	g.sessions[link] = session
	g.mutex.Unlock()
	_ = peering.Send(link, protocol.TopicSession, "", protocol.Session{Incarnation: g.node.Incarnation(), Session: session})
}

// closeSession ends a link's session. Repeatable attempts are cancelled, because
// their results can no longer be delivered; others run to completion.
func (g *gate) closeSession(link *peering.Link) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	session, exists := g.sessions[link]
	if !exists {
		return
	}
	delete(g.sessions, link)
	g.ledger.Close(session)
	for _, active := range g.running {
		if active.link == link && active.repeatable {
			active.cancel()
		}
	}
}

func (g *gate) handleSubmit(link *peering.Link, received *message.Message) {
	submit, err := peering.Decode[protocol.Submit](received)
	if err != nil {
		g.node.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	ctx, refusal := g.admit(link, submit)
	if ctx == nil && refusal == nil {
		// This attempt was already submitted; the first submission answers.
		return
	}
	if refusal != nil {
		g.send(link, protocol.Event{ID: submit.ID, Kind: protocol.Refused, Reason: refusal.Reason, Detail: refusal.Detail})
		return
	}
	go g.run(ctx, link, submit)
}

// admit decides under the lock whether an attempt starts. A refusal guarantees that
// the attempt never runs. For an attempt that was submitted before, both results
// are nil.
func (g *gate) admit(link *peering.Link, submit protocol.Submit) (context.Context, *fault.Refusal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.ledger.Inquire(submit.ID); known == attempt.Running || known == attempt.Ran {
		return nil, nil
	}
	if refusal := g.checkSubmit(submit); refusal != nil {
		g.ledger.Revoke(submit.ID)
		return nil, refusal
	}
	switch g.ledger.Submit(submit.ID) {
	case attempt.Start:
	case attempt.WrongIncarnation:
		return nil, fault.NotRun(fault.ReasonIncarnation, "the agent has restarted")
	case attempt.Revoked:
		return nil, fault.NotRun(fault.ReasonRevoked, "the attempt was revoked")
	case attempt.OutsideWindow:
		return nil, fault.NotRun(fault.ReasonWindow, "the attempt is too old")
	default:
		return nil, fault.NotRun(fault.ReasonLinkLost, "the session is closed")
	}
	remaining := time.Duration(submit.RemainingMilliseconds) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	active := &running{cancel: cancel, link: link, repeatable: submit.Repeatable}
	if submit.Generate != nil {
		active.model, active.version = submit.Generate.Model, submit.Generate.Version
	}
	g.running[submit.ID] = active
	return ctx, nil
}

// checkSubmit returns the reason why an attempt can't be accepted now, or nil.
func (g *gate) checkSubmit(submit protocol.Submit) *fault.Refusal {
	switch {
	case g.node.Leaving():
		return fault.NotRun(fault.ReasonLeaving, "the back end is leaving")
	case len(g.running) >= g.options.MaximumOpen:
		return fault.NotRun(fault.ReasonOverloaded, "the back end has too much open work")
	case submit.RemainingMilliseconds <= 0:
		return fault.NotRun(fault.ReasonDeadline, "no time is left")
	case submit.Generate != nil:
		return g.checkGenerate(submit.Generate)
	case submit.Call != nil && submit.Call.Service == g.options.Service && g.service != nil:
		return nil
	}
	return fault.NotRun(fault.ReasonUnknownService, "the back end does not serve this")
}

func (g *gate) checkGenerate(work *protocol.Generate) *fault.Refusal {
	served, _ := blackboard.Read(g.node.Board, ServedKey)
	serves := func(v protocol.ServedVersion) bool {
		return v.Model == work.Model && v.Version == work.Version &&
			(work.Adapter == "" || slices.Contains(v.Adapters, work.Adapter))
	}
	if g.engine == nil || !slices.ContainsFunc(served, serves) {
		return fault.NotRun(fault.ReasonVersionChanged, "the back end does not serve this version")
	}
	return nil
}

// finish removes an attempt from the running set; it never runs again.
func (g *gate) finish(id attempt.ID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ledger.Finish(id)
	if active, found := g.running[id]; found {
		active.cancel()
		delete(g.running, id)
	}
}

// run runs an attempt. If it panics only this attempt fails, and may have run.
func (g *gate) run(ctx context.Context, link *peering.Link, submit protocol.Submit) {
	defer g.finish(submit.ID)
	defer func() {
		if reason := recover(); reason != nil {
			g.node.Log.Log(logging.HandlerPanicked, zap.String("request", submit.RequestID), zap.String("panic", fmt.Sprint(reason)),
				zap.ByteString("stack", debug.Stack()))
			g.reportFailure(ctx, link, submit.ID, fault.Unknown(fault.ReasonInternal, "the agent failed while it ran the attempt"))
		}
	}()
	if submit.Generate != nil {
		g.generate(ctx, link, submit)
		return
	}
	g.call(ctx, link, submit)
}

// generate streams an engine's answer. It checks for each token that it is in order
// and comes from the pinned version and a single engine incarnation.
func (g *gate) generate(ctx context.Context, link *peering.Link, submit protocol.Submit) {
	work := submit.Generate
	generation := external.GenerationRequest{
		ID: submit.RequestID, Model: work.Model, Version: work.Version, Adapter: work.Adapter,
		Prompt: work.Prompt, MaximumTokens: work.MaximumTokens, Priority: submit.Priority, ResumeFrom: work.ResumeFrom,
	}
	next := work.ResumeFrom
	var incarnation uint64
	err := g.engine.Generate(ctx, generation, func(event external.GenerationEvent) error {
		if incarnation == 0 {
			incarnation = event.Incarnation
		}
		if event.Version != work.Version || event.Incarnation != incarnation || event.Index != next {
			g.node.Log.Log(logging.WrongVersion, zap.String("request", submit.RequestID),
				zap.String("pinned", work.Version), zap.String("answered", event.Version))
			return fault.Unknown(fault.ReasonWrongVersion, "the engine answered out of version or order")
		}
		if event.Finish != "" {
			return g.deliver(link, protocol.Event{ID: submit.ID, Kind: protocol.Finished, Index: next, Finish: event.Finish, Version: event.Version})
		}
		next++
		return g.deliver(link, protocol.Event{ID: submit.ID, Kind: protocol.Token, Index: event.Index, Token: event.Token, Version: event.Version})
	})
	if err != nil {
		g.reportFailure(ctx, link, submit.ID, err)
	}
}

// reportFailure sends the failure of an attempt to its entry. Only a failed connection
// attempt, or a refusal by the engine before the first token, proves that the attempt
// did not run.
func (g *gate) reportFailure(ctx context.Context, link *peering.Link, id attempt.ID, err error) {
	event := protocol.Event{ID: id, Kind: protocol.Failed, Reason: fault.ReasonBackendFailed, Detail: err.Error()}
	var refusal *fault.Refusal
	switch {
	case errors.As(err, &refusal):
		event.Reason = refusal.Reason
	case provesNotRun(err):
		event.Kind = protocol.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		event.Reason = fault.ReasonDeadline
	case ctx.Err() != nil:
		event.Reason = fault.ReasonCanceled
	}
	g.send(link, event)
}

// provesNotRun reports whether an error proves that the back end never received the
// request or refused it before running it.
func provesNotRun(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var unavailable *fault.Unavailable
	return errors.As(err, &unavailable) && unavailable.Operation == "generate" && unavailable.Status == http.StatusConflict
}

func (g *gate) call(ctx context.Context, link *peering.Link, submit protocol.Submit) {
	work := submit.Call
	if !submit.Repeatable && submit.Key != "" {
		if done := g.answerKnownKey(link, submit); done {
			return
		}
	}
	answer, err := g.service.Call(ctx, external.ServiceCall{
		ID: submit.RequestID, Method: work.Method, Path: work.Path,
		ContentType: work.ContentType, Body: work.Body, Repeatable: submit.Repeatable,
	})
	if err != nil {
		g.releaseKeyIfNotRun(submit, err)
		g.reportFailure(ctx, link, submit.ID, err)
		return
	}
	recorded := &protocol.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if !submit.Repeatable {
		g.mutex.Lock()
		g.keys.record(submit, recorded)
		g.mutex.Unlock()
	}
	g.send(link, protocol.Event{ID: submit.ID, Kind: protocol.Answered, Answer: recorded})
}

// answerKnownKey replays the recorded answer when the caller's key was used before;
// otherwise it claims the key and returns false.
func (g *gate) answerKnownKey(link *peering.Link, submit protocol.Submit) bool {
	g.mutex.Lock()
	answer, known := g.keys.claim(submit)
	g.mutex.Unlock()
	if !known {
		return false
	}
	event := protocol.Event{ID: submit.ID, Kind: protocol.Answered, Answer: answer}
	if answer == nil {
		event = protocol.Event{ID: submit.ID, Kind: protocol.Failed, Reason: fault.ReasonDuplicate, Detail: "the key is in use or its outcome is unknown"}
	}
	g.send(link, event)
	return true
}

func (g *gate) releaseKeyIfNotRun(submit protocol.Submit, err error) {
	if !provesNotRun(err) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.keys.release(submit)
}

func (g *gate) handleCancel(link *peering.Link, received *message.Message) {
	reference, err := peering.Decode[protocol.AttemptRef](received)
	if err != nil {
		return
	}
	g.mutex.Lock()
	outcome := g.ledger.Revoke(reference.ID)
	active := g.running[reference.ID]
	g.mutex.Unlock()
	if outcome == attempt.Running && active != nil {
		active.cancel()
	}
	if outcome == attempt.NotRun {
		g.send(link, protocol.Event{ID: reference.ID, Kind: protocol.Refused, Reason: fault.ReasonRevoked})
	}
}

func (g *gate) handleInquire(link *peering.Link, received *message.Message) {
	reference, err := peering.Decode[protocol.AttemptRef](received)
	if err != nil {
		return
	}
	g.mutex.Lock()
	resolved := protocol.Resolved{ID: reference.ID, Outcome: g.ledger.Revoke(reference.ID)}
	if resolved.Outcome == attempt.Ran {
		resolved.Answer = g.keys.answerOf(reference.ID)
	}
	g.mutex.Unlock()
	_ = peering.Send(link, protocol.TopicResolved, "", resolved)
}

// deliver sends an event. It fails when the link is lost, which ends the attempt.
func (g *gate) deliver(link *peering.Link, event protocol.Event) error {
	return peering.Send(link, protocol.TopicEvent, "", event)
}

func (g *gate) send(link *peering.Link, event protocol.Event) {
	// The error can be ignored: when the link is lost, the entry inquires over a new one.
	_ = g.deliver(link, event)
}
