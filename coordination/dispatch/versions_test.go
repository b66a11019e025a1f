package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// VERSION: a server on a narrow link that is missing more pieces than can arrive in time is sent no more
// requests on the old version. One that will be ready, or whose pieces are late for another reason, still is
// until shortly before the deadline, even after two versions in quick succession.
func TestUnpreparedServerIsLeftOutInTime(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	at := func(remaining time.Duration) *Request {
		return withFigures(Request{VersionDeadlines: VersionDeadlines{{Version: 2, Until: now.Add(remaining)}}, Prompt: 1000}, copiedEngine())
	}
	for _, one := range []struct {
		missing   int
		link      time.Duration
		remaining time.Duration
		want      Eligibility
	}{
		{missing: 80, link: narrowLink, remaining: 5 * time.Second, want: Eligible},
		{missing: 80, link: narrowLink, remaining: 3200 * time.Millisecond, want: excludedVersionDeadline},
		{missing: 20, link: narrowLink, remaining: 3200 * time.Millisecond, want: Eligible},
		{missing: 20, link: narrowLink, remaining: 1400 * time.Millisecond, want: excludedVersionDeadline},
		{missing: 0, link: narrowLink, remaining: 1400 * time.Millisecond, want: excludedVersionDeadline},
		{missing: 96, link: 20 * time.Millisecond, remaining: 1400 * time.Millisecond, want: Eligible},
		{missing: 96, link: 20 * time.Millisecond, remaining: 900 * time.Millisecond, want: excludedVersionDeadline},
		{missing: 0, remaining: 1400 * time.Millisecond, want: Eligible},
		{missing: 0, remaining: 900 * time.Millisecond, want: excludedVersionDeadline},
	} {
		server := modelServer(now, one.missing)
		server.report.LinkRTT = one.link
		assert.Equal(t, one.want, core.eligibility(server, at(one.remaining), now), "%d missing, link %s, %s left", one.missing, one.link, one.remaining)
	}
}

// VERSION: after two versions in quick succession, a server on the oldest version is limited by the deadline
// of the first of them, and one on the second version by that of the third.
func TestDeadlineIsThatOfTheFirstVersionAServerLacks(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	request := &Request{Engine: &Engine{}, VersionDeadlines: VersionDeadlines{
		{Version: 2, Until: now.Add(900 * time.Millisecond)}, {Version: 3, Until: now.Add(2900 * time.Millisecond)},
	}}
	oldest, middle, newest := modelServer(now, 0), modelServer(now, 0), modelServer(now, 0)
	middle.report.Version, newest.report.Version = 2, 3
	assert.Equal(t, excludedVersionDeadline, core.eligibility(oldest, request, now))
	assert.Equal(t, Eligible, core.eligibility(middle, request, now))
	assert.Equal(t, Eligible, core.eligibility(newest, request, now))
}

// VERSION: a server whose pieces arrive much later than those of others is on a narrow link, even if messages
// pass it quickly. Where no server has the pieces, the origin is the bottleneck.
func TestServerThatLagsBehindTheOthersIsOnANarrowLink(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	request := withFigures(Request{VersionDeadlines: VersionDeadlines{{Version: 2, Until: now.Add(3 * time.Second)}}, Prompt: 1000}, copiedEngine())
	lagging := modelServer(now, 80)
	for othersMissing, want := range map[int]Eligibility{70: Eligible, 0: excludedVersionDeadline} {
		core.ApplyReport(LoadReport{Address: "10.0.0.9:1", Reachable: true, MissingPieces: othersMissing}, now)
		core.computeMinMissing(now)
		assert.Equal(t, want, core.eligibility(lagging, request, now), "others lack %d", othersMissing)
	}
}
