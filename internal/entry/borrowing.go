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
	topicBorrowRequest = "escrow.ask"
	topicBorrowGrant   = "escrow.grant"
)

// borrowRequest asks another entry for a part of its share of a tenant's limit.
type borrowRequest struct {
	Tenant  string         `cbor:"1,keyasint"`
	Request escrow.Request `cbor:"2,keyasint"`
}

// borrowGrant answers a borrowRequest.
type borrowGrant struct {
	Tenant string       `cbor:"1,keyasint"`
	Grant  escrow.Grant `cbor:"2,keyasint"`
}

// SharesKey is the blackboard key of the shares of the tenants that have demand or open requests.
var SharesKey = blackboard.NewKey[[]ShareView]("limits.shares")

// borrowInterval is the interval at which each tenant's demand is compared with the entry's usable share of
// the tenant's limit.
const borrowInterval = 500 * time.Millisecond

// dialTimeout is the timeout for a link to another entry.
const dialTimeout = 2 * time.Second

func (e *Entry) handleBorrowing() {
	e.node.Hub.Handle(topicBorrowRequest, func(link *peering.Link, received *message.Message) {
		request, err := peering.Decode[borrowRequest](received)
		if err != nil {
			return
		}
		if grant, known := e.limits.grant(request.Tenant, request.Request); known {
			// If the grant is lost the donor can't use that part until the grant's term ends.
			_ = peering.Send(link, topicBorrowGrant, "", borrowGrant{Tenant: request.Tenant, Grant: grant})
		}
	})
	e.node.Hub.Handle(topicBorrowGrant, func(_ *peering.Link, received *message.Message) {
		if grant, err := peering.Decode[borrowGrant](received); err == nil {
			e.limits.applyGrant(grant.Tenant, grant.Grant)
		}
	})
}

// runBorrowing requests a part of another entry's share for each tenant whose share is running out.
func (e *Entry) runBorrowing(ctx context.Context) {
	ticker := time.NewTicker(borrowInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		blackboard.Write(e.node.Board, SharesKey, e.limits.views())
		for _, request := range e.limits.borrowRequests() {
			if donor, found := e.pickDonor(); found {
				go e.requestShare(ctx, donor, request)
			}
		}
	}
}

// sameZoneRatio is the ratio of requests that go to a donor in the own zone, if there is one.
const sameZoneRatio = 0.75

func (e *Entry) pickDonor() (external.Member, bool) {
	members, _ := blackboard.Read(e.node.Board, node.MembersKey)
	var sameZone, all []external.Member
	for _, member := range members {
		if member.Role != external.RoleEntry || member.ID == e.node.ID() || member.Leaving {
			continue
		}
		all = append(all, member)
		if member.Zone == e.node.Zone() {
			sameZone = append(sameZone, member)
		}
	}
	if len(sameZone) > 0 && rand.Float64() < sameZoneRatio {
		return sameZone[rand.IntN(len(sameZone))], true
	}
	if len(all) == 0 {
		return external.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (e *Entry) requestShare(ctx context.Context, donor external.Member, request tenantRequest) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := e.node.Hub.Link(ctx, donor.Address)
	if err != nil {
		return
	}
	_ = peering.Send(link, topicBorrowRequest, "", borrowRequest{Tenant: request.tenant, Request: request.request})
}
