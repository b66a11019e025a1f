package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fleet"
)

// frozenServer is a model server whose pieces turn corrupt while the agent or the server stands still.
type frozenServer struct {
	*silentServer
	clock time.Duration
	// freeze is how long the standstill lasts.
	freeze time.Duration
	// freezeAt is the piece whose reading the agent stands still at, below 0 for none. freezeConnecting has it stand
	// still while the connection of an order is made, freezeTaking has the server do so before it takes the order.
	freezeAt         int
	freezeConnecting bool
	freezeTaking     bool
	models           []fleet.HeldModel
	orders           []fleet.StartOrder
}

func (s *frozenServer) standStill(earlier int) {
	s.clock += s.freeze
	for index := range earlier {
		s.pieces[index] = []byte("corrupt")
	}
}

func (s *frozenServer) Piece(ctx context.Context, model string, index int) ([]byte, error) {
	if index == s.freezeAt {
		s.standStill(index)
	}
	return s.silentServer.Piece(ctx, model, index)
}

func (s *frozenServer) Report(context.Context) (fleet.Report, error) {
	return fleet.Report{Models: s.models}, nil
}

func (s *frozenServer) Start(_ context.Context, order fleet.StartOrder, beforeSend func() error) (fleet.OrderOutcome, error) {
	if s.freezeConnecting {
		s.standStill(2)
	}
	if err := beforeSend(); err != nil {
		return 0, err
	}
	if s.freezeTaking {
		s.standStill(2)
	}
	s.orders = append(s.orders, order)
	s.models = []fleet.HeldModel{{Name: order.Model, Version: order.Version, FromLayer: order.FromLayer, ToLayer: order.ToLayer}}
	return fleet.OrderAccepted, nil
}

// startFrozenServer returns a server with three staged pieces of version 2, and the transfer of its agent.
func startFrozenServer(freeze time.Duration) (*frozenServer, *transfer) {
	server := &frozenServer{silentServer: stagedServer(3), freezeAt: -1, freeze: freeze}
	one := newTestTransfer(server, []bool{true, true, true}, 0)
	one.agent.sinceBoot = func() time.Duration { return server.clock }
	return server, one
}

// Guards against an order that rests on an old verification: the agent stood still in the middle of it, and
// pieces that it had read turned corrupt meanwhile. The order waits for the next verification.
func TestOrderIsWithheldAfterAStandstillDuringVerification(t *testing.T) {
	server, one := startFrozenServer(maxVerificationAge + time.Millisecond)
	server.freezeAt = 2
	one.agent.switchTo(context.Background(), one, 1)
	assert.Empty(t, server.orders, "two pieces have turned corrupt")
	server.freezeAt = -1
	one.agent.switchTo(context.Background(), one, 1)
	assert.Empty(t, server.orders, "the next verification finds them")
	_, missing := one.state()
	assert.Equal(t, 2, missing)
}

// Guards against the same when the agent stood still after it had looked at the age of the verification, while the
// connection of the order was made.
func TestOrderIsWithheldAfterAStandstillWhileConnecting(t *testing.T) {
	server, one := startFrozenServer(maxVerificationAge + time.Millisecond)
	server.freezeConnecting = true
	one.agent.switchTo(context.Background(), one, 1)
	assert.Empty(t, server.orders, "two pieces have turned corrupt")
}

// Guards against requests that are answered from corrupt weights: the server stood still with the order, which it took when
// the pieces had been corrupt for long. It gets no requests until it has loaded the layers anew.
func TestWeightsOfAnOrderTakenLateAreDropped(t *testing.T) {
	server, one := startFrozenServer(toleratedCorruption + time.Millisecond)
	server.freezeTaking = true
	agent, engine := one.agent, &fleet.Engine{Layers: 3}
	agent.switchTo(context.Background(), one, 1)
	require.Len(t, server.orders, 1)
	_, missing := one.state()
	assert.Equal(t, 2, missing, "corrupt pieces are fetched again")
	assert.Zero(t, agent.status(time.Now()).SwitchMilliseconds, "entries send nothing")
	server.freezeTaking = false
	before := fleet.Report{Models: []fleet.HeldModel{{Name: "m", Version: 1}}}
	assert.False(t, agent.dropSuspectWeights(context.Background(), engine, before, true), "a report from before the order")
	assert.Zero(t, agent.status(time.Now()).SwitchMilliseconds)
	report := fleet.Report{Models: server.models, Sequence: 1}
	assert.True(t, agent.dropSuspectWeights(context.Background(), engine, report, true))
	require.Len(t, server.orders, 2)
	assert.Equal(t, fleet.StartOrder{Model: "m", Version: 1, ToLayer: 1}, server.orders[1], "another version has the server drop the layers")
	assert.False(t, agent.dropSuspectWeights(context.Background(), engine, report, true), "a refused order is not repeated at once")
	report.Models, report.Sequence = server.models, 2
	assert.False(t, agent.dropSuspectWeights(context.Background(), engine, report, true))
	assert.Equal(t, int64(fleet.NoSwitch), agent.status(time.Now()).SwitchMilliseconds)
}

// Weights stay in service if the pieces are found whole after an order was taken late.
func TestWeightsOfAnOrderTakenLateStayIfThePiecesAreWhole(t *testing.T) {
	server, one := startFrozenServer(0)
	server.freezeTaking = true
	server.pieces[0], server.pieces[1] = testPiece(0), testPiece(1)
	verified := one.agent.beginVerification(one, []int{2})
	server.clock += toleratedCorruption + time.Millisecond
	one.agent.reviewOrder(context.Background(), fleet.StartOrder{Model: "m", Version: 2}, 1, verified)
	assert.Nil(t, one.agent.suspect)
}

// A short standstill does not delay a version: the verification is usable up to its maximum age.
func TestVerificationIsUsableUpToItsMaximumAge(t *testing.T) {
	now := time.Hour
	agent := &Agent{sinceBoot: func() time.Duration { return now }}
	verified := agent.beginVerification(nil, nil)
	now += maxVerificationAge
	assert.NoError(t, agent.checkFresh(verified))
	now++
	assert.ErrorIs(t, agent.checkFresh(verified), errVerificationTooOld)
}
