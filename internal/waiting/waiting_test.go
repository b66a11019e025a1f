package waiting

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFor(t *testing.T) {
	assert.True(t, For(context.Background(), time.Millisecond))
	assert.True(t, For(context.Background(), -time.Second))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.False(t, For(ended, time.Minute))
	assert.False(t, For(ended, 0))
}
