package fleet

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPromptsAreBoundedByTokenCache(t *testing.T) {
	var none *Engine
	assert.Equal(t, MaxTokens, none.MaxPrompt())
	assert.Equal(t, MaxTokens, (&Engine{}).MaxPrompt())
	assert.Equal(t, MaxTokens, (&Engine{CacheTokens: math.MaxInt}).MaxPrompt())
	assert.Equal(t, 317000, (&Engine{CacheTokens: 317000}).MaxPrompt())
	assert.Equal(t, 317000, ValidTokens(317000, 317000))
	assert.Zero(t, ValidTokens(317001, 317000))
	assert.Zero(t, ValidTokens(-1, 317000))
}
