package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dispatch"
)

// BUDGET: after a version deadline a server that has a newer version is not sent the older one as
// the expected version, because it would reject the request.
func TestExpectedVersionIsTheServersOwn(t *testing.T) {
	for _, one := range []struct{ exactly, atLeast, serving, want uint64 }{
		{want: 0, serving: 2}, {atLeast: 2, serving: 2, want: 2}, {atLeast: 2, serving: 3, want: 3}, {exactly: 2, atLeast: 2, serving: 3, want: 2},
	} {
		w := &forwarding{criteria: dispatch.Request{ExactVersion: one.exactly, MinVersion: one.atLeast}}
		assert.Equal(t, one.want, w.expectedVersion(one.serving))
	}
}
