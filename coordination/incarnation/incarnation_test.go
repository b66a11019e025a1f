package incarnation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestUnknownStartTime(t *testing.T) {
	assert.True(t, StartTime(1).Before(2))
	assert.False(t, StartTime(2).Before(2))
	assert.False(t, StartTime(0).Before(2))
	assert.False(t, StartTime(2).Before(0))
	assert.True(t, StartTime(1).Differs(2))
	assert.False(t, StartTime(2).Differs(2))
	assert.False(t, StartTime(0).Differs(2))
	assert.False(t, StartTime(2).Differs(0))
}
