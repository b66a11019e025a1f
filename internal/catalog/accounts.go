package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/budget"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicRetryAccounts carries what entries have counted for their retry budgets to processes of their
// zone, which hold it for the entries' next processes. Agents hold it beyond a loss of all entries.
const topicRetryAccounts = "retry.accounts"

// Bounds on the accounts held and in messages.
const (
	// accountTTL is how long an account is kept: an entry goes on with one that was made shortly
	// before its start, and may need some seconds to link.
	accountTTL = 5 * time.Second
	// maxAccounts bounds the accounts held; the oldest are evicted first.
	maxAccounts = 2048
	// maxAccountCount bounds the counts in a message.
	maxAccountCount = 1 << 24
	// holdersPerRelay is how many of its agents a relay sends the accounts of its zone.
	holdersPerRelay = 3
)

// accountMessage is the wire form of what an entry has counted for a service; package budget documents
// the fields.
type accountMessage struct {
	Entry   string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Number orders the accounts of one entry, also across its processes.
	Number              uint64 `cbor:"3,keyasint"`
	AgeMilliseconds     int64  `cbor:"4,keyasint"`
	Requests            []int  `cbor:"5,keyasint"`
	Retries             []int  `cbor:"6,keyasint"`
	Reserve             int    `cbor:"7,keyasint"`
	CoveredMilliseconds int64  `cbor:"8,keyasint"`
}

// accountBatch is the wire form of the accounts that one process sends at once.
type accountBatch struct {
	Accounts []accountMessage `cbor:"1,keyasint"`
}

// heldAccount is an entry's newest account for a service.
type heldAccount = heldReport[budget.Account]

// RetryAccountHandler is called with what the former process of this entry had counted for a service,
// and when it did.
type RetryAccountHandler func(service string, account budget.Account, at time.Time)

// retryAccounts holds the accounts of the zone's entries. The catalog's mutex guards it.
type retryAccounts struct {
	reportStore[budget.Account]
	onAccount RetryAccountHandler
	// pending is signalled when there are accounts to send.
	pending chan struct{}
}

func newRetryAccounts(started time.Time) retryAccounts {
	return retryAccounts{reportStore: newReportStore[budget.Account](started, accountTTL, maxAccounts), pending: make(chan struct{}, 1)}
}

// OnRetryAccount registers a function that is called with the accounts of this entry's former process. It
// must be registered before Run.
func (c *Catalog) OnRetryAccount(function RetryAccountHandler) { c.accounts.onAccount = function }

// AnnounceRetryAccount sends what this entry has counted for a service until now to the processes that
// hold it for the entry's next process.
func (c *Catalog) AnnounceRetryAccount(service string, account budget.Account) {
	now := time.Now()
	c.mutex.Lock()
	c.accounts.add(reportKey{entry: c.options.Self, subject: service}, heldAccount{report: account, at: now, number: c.accounts.nextNumber()}, now)
	c.mutex.Unlock()
	c.scheduleAccounts()
}

func (c *Catalog) scheduleAccounts() { signal(c.accounts.pending) }

func (c *Catalog) handleRetryAccounts(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[accountBatch](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	if link.Remote().Zone != c.options.Zone {
		return
	}
	now := time.Now()
	for _, wire := range batch.Accounts {
		held, err := wire.validated(now)
		switch {
		case err != nil:
			c.rejectFrame(link, err)
		case wire.Entry != c.options.Self:
			c.mutex.Lock()
			c.accounts.add(reportKey{entry: wire.Entry, subject: wire.Service}, held, now)
			c.mutex.Unlock()
		case c.accounts.onAccount != nil && held.at.Before(c.started):
			c.accounts.onAccount(wire.Service, held.report, held.at)
		}
	}
	c.scheduleAccounts()
}

// validated converts an account received now, or rejects one with impossible values. An invalid
// account does not affect the others of its message.
func (m accountMessage) validated(now time.Time) (heldAccount, error) {
	account := budget.Account{Reserve: m.Reserve, Covered: time.Duration(m.CoveredMilliseconds) * time.Millisecond}
	reason := ""
	switch {
	case m.Entry == "" || m.Service == "":
		reason = "no entry or no service"
	case m.AgeMilliseconds < 0 || m.AgeMilliseconds > accountTTL.Milliseconds():
		reason = fmt.Sprintf("age of %d ms", m.AgeMilliseconds)
	case m.CoveredMilliseconds < 0 || m.CoveredMilliseconds > maxMilliseconds:
		reason = fmt.Sprintf("%d ms covered", m.CoveredMilliseconds)
	case m.Reserve < 0 || m.Reserve > maxAccountCount:
		reason = fmt.Sprintf("reserve of %d", m.Reserve)
	case len(m.Requests) != len(account.Requests) || len(m.Retries) != len(account.Retries):
		reason = fmt.Sprintf("%d and %d steps", len(m.Requests), len(m.Retries))
	case slices.ContainsFunc(slices.Concat(m.Requests, m.Retries), func(count int) bool { return count < 0 || count > maxAccountCount }):
		reason = "impossible count"
	}
	if reason != "" {
		return heldAccount{}, &fault.InvalidFrame{Field: topicRetryAccounts, Reason: reason}
	}
	copy(account.Requests[:], m.Requests)
	copy(account.Retries[:], m.Retries)
	return heldAccount{report: account, at: now.Add(-time.Duration(m.AgeMilliseconds) * time.Millisecond), number: m.Number}, nil
}

// newAccountMessage converts an entry's account to its wire form.
func newAccountMessage(key reportKey, held heldAccount, now time.Time) accountMessage {
	return accountMessage{
		Entry: key.entry, Service: key.subject, Number: held.number, AgeMilliseconds: max(0, now.Sub(held.at).Milliseconds()),
		Requests: held.report.Requests[:], Retries: held.report.Retries[:], Reserve: held.report.Reserve, CoveredMilliseconds: held.report.Covered.Milliseconds(),
	}
}

// sendPendingAccounts sends each linked process of the zone the accounts that it has not been sent.
func (c *Catalog) sendPendingAccounts() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.accounts.expire(now)
	if len(c.accounts.reports) == 0 {
		return
	}
	isRelay, holders := c.isRelay(), c.accountHolders()
	for ip, peer := range c.links {
		if peer.link == nil || peer.sendingAccounts || peer.accountsSent == c.accounts.sequence || peer.zone() != c.options.Zone {
			continue
		}
		if !peer.isEntry() && !slices.Contains(holders, ip) {
			continue
		}
		accounts := c.accountsFor(peer.link.Remote(), peer.accountsSent, isRelay, now)
		peer.accountsSent = c.accounts.sequence
		if len(accounts) > 0 {
			peer.sendingAccounts = true
			go c.sendAccounts(peer, peer.link, accounts)
		}
	}
}

// accountHolders returns the agents of the zone that this entry sends accounts: the same ones as
// long as they are linked. The mutex must be held.
func (c *Catalog) accountHolders() []string {
	var agents []string
	for ip, peer := range c.links {
		if peer.link != nil && !peer.isEntry() && peer.zone() == c.options.Zone {
			agents = append(agents, ip)
		}
	}
	slices.Sort(agents)
	return agents[:min(len(agents), holdersPerRelay)]
}

// accountsFor returns the accounts after a sequence to send to a process: this entry's own, those of the
// process before the other one, and from a relay to an agent those of the zone. The mutex must be held.
func (c *Catalog) accountsFor(remote peering.Hello, sentSequence uint64, isRelay bool, now time.Time) []accountMessage {
	var accounts []accountMessage
	for key, held := range c.accounts.reports {
		if held.sequence <= sentSequence {
			continue
		}
		isOwn, isFormer := key.entry == c.options.Self, key.entry == remote.ID && held.number < remote.Incarnation
		if isOwn || isFormer || (isRelay && remote.Role == RoleAgent) {
			accounts = append(accounts, newAccountMessage(key, held, now))
		}
	}
	return accounts
}

func (c *Catalog) sendAccounts(peer *peerLink, link *peering.Link, accounts []accountMessage) {
	c.finishSend(peer, link, &peer.sendingAccounts, peering.Send(link, topicRetryAccounts, "", accountBatch{Accounts: accounts}))
	// More accounts may have been made in the meantime.
	c.scheduleAccounts()
}

// sendHeldAccounts has an agent send the accounts that it holds to an entry that has linked to it: the
// entry may have just started, and all others may have stopped.
func (c *Catalog) sendHeldAccounts(link *peering.Link) {
	if c.options.Role != RoleAgent || link.Remote().Role != RoleEntry || link.Remote().Zone != c.options.Zone {
		return
	}
	c.mutex.Lock()
	now := time.Now()
	c.accounts.expire(now)
	var accounts []accountMessage
	for key, held := range c.accounts.reports {
		accounts = append(accounts, newAccountMessage(key, held, now))
	}
	c.mutex.Unlock()
	if len(accounts) == 0 {
		return
	}
	go func() {
		if err := peering.Send(link, topicRetryAccounts, "", accountBatch{Accounts: accounts}); err != nil {
			// The entry is sent them when it links again.
			c.options.Log.Log(logging.PeerLost, zap.String("peer", link.Remote().ID), zap.Error(err))
		}
	}()
}
