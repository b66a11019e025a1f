package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"pinevane.example/pinevane/coordination/escrow"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/peering"
)

// Topics between entries.
const (
	topicAsk   = "escrow.ask"
	topicGrant = "escrow.grant"
)

// askMessage asks for a part of a tenant's limit.
type askMessage struct {
	Tenant  string         `cbor:"1,keyasint"`
	Request escrow.Request `cbor:"2,keyasint"`
}

// grantMessage answers it.
type grantMessage struct {
	Tenant string       `cbor:"1,keyasint"`
	Grant  escrow.Grant `cbor:"2,keyasint"`
}

// SharesKey is the blackboard entry that lists the tenants with demand.
var SharesKey = blackboard.NewKey[[]ShareView]("limits.shares")

// borrowPeriod is how often demand is compared with what is usable.
const borrowPeriod = 500 * time.Millisecond

// dialTimeout bounds the wait for a link to another entry.
const dialTimeout = 2 * time.Second

func (e *Entry) handleBorrowing() {
	e.node.Hub.Handle(topicAsk, func(link *peering.Link, received *message.Message) {
		ask, err := peering.Decode[askMessage](received)
		if err != nil {
			return
		}
		if grant, known := e.limits.answer(ask.Tenant, ask.Request); known {
			// A grant that is lost costs the donor its part for a term.
			_ = peering.Send(link, topicGrant, "", grantMessage{Tenant: ask.Tenant, Grant: grant})
		}
	})
	e.node.Hub.Handle(topicGrant, func(_ *peering.Link, received *message.Message) {
		if grant, err := peering.Decode[grantMessage](received); err == nil {
			e.limits.receive(grant.Tenant, grant.Grant)
		}
	})
}

// runBorrowing asks another entry, of the own zone when there is one, for each
// tenant whose share runs out.
func (e *Entry) runBorrowing(ctx context.Context) {
	ticker := time.NewTicker(borrowPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		blackboard.Write(e.node.Board, SharesKey, e.limits.views())
		for _, wanted := range e.limits.wishes() {
			if donor, found := e.pickDonor(); found {
				go e.ask(ctx, donor, wanted)
			}
		}
	}
}

// sameZoneShare is how often a donor of the own zone is asked.
const sameZoneShare = 0.75

func (e *Entry) pickDonor() (external.Member, bool) {
	members, _ := blackboard.Read(e.node.Board, node.MembersKey)
	var near, all []external.Member
	for _, member := range members {
		if member.Role != external.RoleEntry || member.ID == e.node.ID() || member.Leaving {
			continue
		}
		all = append(all, member)
		if member.Zone == e.node.Zone() {
			near = append(near, member)
		}
	}
	if len(near) > 0 && rand.Float64() < sameZoneShare {
		return near[rand.IntN(len(near))], true
	}
	if len(all) == 0 {
		return external.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (e *Entry) ask(ctx context.Context, donor external.Member, wanted wish) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := e.node.Hub.Link(ctx, donor.Address)
	if err != nil {
		return
	}
	_ = peering.Send(link, topicAsk, "", askMessage{Tenant: wanted.tenant, Request: wanted.request})
}
