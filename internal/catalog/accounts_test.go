package catalog

import (
	"slices"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/budget"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/peering"
)

// accountOf returns an account of a budget that has spent some retries.
func accountOf(retries int) budget.Account {
	account := budget.Account{Reserve: 3, Covered: 7 * time.Second}
	account.Requests[0], account.Requests[len(account.Requests)-1] = 40, 2
	account.Retries[1] = retries
	return account
}

// An account is the same at the receiver, with its age.
func TestRetryAccountsRoundTrip(t *testing.T) {
	madeAt := time.Unix(1000, 0)
	held := heldAccount{report: accountOf(5), at: madeAt, number: 3}
	sent, err := cbor.Marshal(newAccountMessage(reportKey{entry: "10.0.0.1", subject: "s"}, held, madeAt.Add(400*time.Millisecond)))
	require.NoError(t, err)
	var decoded accountMessage
	require.NoError(t, cbor.Unmarshal(sent, &decoded))
	received, err := decoded.validated(madeAt.Add(time.Second))
	require.NoError(t, err)
	assert.Equal(t, held.report, received.report)
	assert.Equal(t, held.number, received.number)
	assert.Equal(t, madeAt.Add(600*time.Millisecond), received.at)
	assert.Equal(t, [...]string{"10.0.0.1", "s"}, [...]string{decoded.Entry, decoded.Service})
}

func TestInvalidRetryAccountsAreRejected(t *testing.T) {
	for what, change := range map[string]func(*accountMessage){
		"no entry":         func(m *accountMessage) { m.Entry = "" },
		"no service":       func(m *accountMessage) { m.Service = "" },
		"negative age":     func(m *accountMessage) { m.AgeMilliseconds = -1 },
		"age too large":    func(m *accountMessage) { m.AgeMilliseconds = 1 << 60 },
		"covered too long": func(m *accountMessage) { m.CoveredMilliseconds = 1 << 60 },
		"negative reserve": func(m *accountMessage) { m.Reserve = -1 },
		"too few steps":    func(m *accountMessage) { m.Retries = m.Retries[1:] },
		"too many steps":   func(m *accountMessage) { m.Requests = append(m.Requests, 0) },
		"negative count":   func(m *accountMessage) { m.Retries[0] = -1 },
		"count too large":  func(m *accountMessage) { m.Requests[0] = 1 << 40 },
	} {
		malformed := newAccountMessage(reportKey{entry: "10.0.0.1", subject: "s"}, heldAccount{report: accountOf(5)}, time.Time{})
		malformed.Requests, malformed.Retries = slices.Clone(malformed.Requests), slices.Clone(malformed.Retries)
		_, err := malformed.validated(time.Now())
		require.NoError(t, err)
		change(&malformed)
		_, err = malformed.validated(time.Now())
		var invalid *fault.InvalidFrame
		assert.ErrorAs(t, err, &invalid, what)
	}
}

// An entry's accounts are held by the others of its zone, and a relay has agents hold those of the zone. They are sent
// to the entry's next process only.
func TestRetryAccountsAreSentToHoldersAndTheNextProcess(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	const number = 100
	c.AnnounceRetryAccount("own", accountOf(1))
	c.accounts.add(reportKey{entry: "10.0.0.2", subject: "other"}, heldAccount{report: accountOf(2), at: now, number: number}, now)
	sent := func(id, role string, incarnation uint64, isRelay bool) (services []string) {
		for _, account := range c.accountsFor(peering.Hello{ID: id, Role: role, Incarnation: incarnation}, 0, isRelay, now) {
			services = append(services, account.Service)
		}
		slices.Sort(services)
		return services
	}
	assert.Equal(t, []string{"other", "own"}, sent("10.0.0.9", RoleAgent, 0, true))
	assert.Equal(t, []string{"own"}, sent("10.0.0.9", RoleAgent, 0, false))
	assert.Equal(t, []string{"own"}, sent("10.0.0.3", RoleEntry, number+1, true))
	assert.Equal(t, []string{"own"}, sent("10.0.0.2", RoleEntry, number-1, false), "the process that made the account")
	assert.Equal(t, []string{"other", "own"}, sent("10.0.0.2", RoleEntry, number+1, false), "the next one")
	assert.Empty(t, c.accountsFor(peering.Hello{ID: "10.0.0.9", Role: RoleAgent}, c.accounts.sequence, true, now), "nothing is sent twice")
}

// Guards against an entry that goes on with an account of its own, sent back to it, as if a former process had
// spent the same once more.
func TestOnlyAccountsOfTheFormerProcessAreApplied(t *testing.T) {
	c := newTestCatalog()
	var applied []string
	c.OnRetryAccount(func(service string, _ budget.Account, _ time.Time) { applied = append(applied, service) })
	time.Sleep(10 * time.Millisecond)
	now := time.Now()
	messageOf := func(entry, service string, at time.Time) accountMessage {
		return newAccountMessage(reportKey{entry: entry, subject: service}, heldAccount{report: accountOf(5), at: at}, now)
	}
	payload, err := cbor.Marshal(accountBatch{Accounts: []accountMessage{
		messageOf("10.0.0.1", "former", c.started.Add(-time.Second)), messageOf("10.0.0.1", "own", now),
		messageOf("10.0.0.2", "other", c.started.Add(-time.Second)), {Entry: "10.0.0.1", Service: "invalid"},
	}})
	require.NoError(t, err)
	c.options.Zone = ""
	c.handleRetryAccounts(&peering.Link{}, message.NewMessage("", payload))
	assert.Equal(t, []string{"former"}, applied)
	assert.Len(t, c.accounts.reports, 1, "the other entry's is held for its next process")
}
