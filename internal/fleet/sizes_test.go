package fleet

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPromptsAreBoundedByTheMemoryForTokens(t *testing.T) {
	var none *Engine
	assert.Equal(t, MostTokens, none.MostPrompt())
	assert.Equal(t, MostTokens, (&Engine{}).MostPrompt())
	assert.Equal(t, MostTokens, (&Engine{CacheTokens: math.MaxInt}).MostPrompt())
	assert.Equal(t, 317000, (&Engine{CacheTokens: 317000}).MostPrompt())
	assert.Equal(t, 317000, KnownTokens(317000, 317000))
	assert.Zero(t, KnownTokens(317001, 317000))
	assert.Zero(t, KnownTokens(-1, 317000))
}
