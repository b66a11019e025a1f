package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/fleet"
)

// frozenServer is a model server whose pieces turn corrupt while the agent stands still, after it has read
// some of them.
type frozenServer struct {
	*silentServer
	clock time.Duration
	// freezeAt is the piece whose reading the agent stands still at, for freeze; below 0 for none.
	freezeAt int
	freeze   time.Duration
	orders   []fleet.StartOrder
}

func (s *frozenServer) Piece(ctx context.Context, model string, index int) ([]byte, error) {
	if index == s.freezeAt {
		s.clock += s.freeze
		for earlier := range index {
			s.pieces[earlier] = []byte("corrupt")
		}
	}
	return s.silentServer.Piece(ctx, model, index)
}

func (s *frozenServer) Start(_ context.Context, order fleet.StartOrder) (fleet.OrderOutcome, error) {
	s.orders = append(s.orders, order)
	return fleet.OrderAccepted, nil
}

// Guards against an order that rests on an old verification: the agent stood still in the middle of it, and
// pieces that it had read turned corrupt meanwhile. The order waits for the next verification.
func TestOrderIsWithheldAfterAStandstillDuringVerification(t *testing.T) {
	server := &frozenServer{silentServer: stagedServer(3), freezeAt: 2, freeze: maxVerificationAge + time.Millisecond}
	one := newTestTransfer(server, []bool{true, true, true}, 0)
	one.agent.sinceBoot = func() time.Duration { return server.clock }
	one.agent.switchTo(context.Background(), one, 1)
	assert.Empty(t, server.orders, "two pieces have turned corrupt")
	server.freezeAt = -1
	one.agent.switchTo(context.Background(), one, 1)
	assert.Empty(t, server.orders, "the next verification finds them")
	_, missing := one.state()
	assert.Equal(t, 2, missing)
}

// A short standstill does not delay a version: the verification is usable up to its maximum age.
func TestVerificationIsUsableUpToItsMaximumAge(t *testing.T) {
	now := time.Hour
	agent := &Agent{sinceBoot: func() time.Duration { return now }}
	verified := agent.beginVerification()
	now += maxVerificationAge
	assert.True(t, agent.isFresh(verified))
	now++
	assert.False(t, agent.isFresh(verified))
}
