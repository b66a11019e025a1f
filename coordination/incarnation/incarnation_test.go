package incarnation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestUnknownBirthTellsNothing(t *testing.T) {
	assert.True(t, Born(1).Before(2))
	assert.False(t, Born(2).Before(2))
	assert.False(t, Born(0).Before(2))
	assert.False(t, Born(2).Before(0))
	assert.True(t, Born(1).Differs(2))
	assert.False(t, Born(2).Differs(2))
	assert.False(t, Born(0).Differs(2))
	assert.False(t, Born(2).Differs(0))
}
