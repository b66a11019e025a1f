package bytequota

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Callers of one tenant that send much and are never done leave half of the bytes to the others, and
// each other tenant gets half of what is left.
func TestOneTenantLeavesRoomForOthers(t *testing.T) {
	quota := New(1000)
	greedy := quota.Open("large")
	taken := 0
	for greedy.Reserve(10) {
		taken += 10
	}
	assert.Equal(t, 500, taken)
	assert.True(t, quota.Open("small").Reserve(250))
	assert.False(t, quota.Open("large").Reserve(10), "it is over its part now")
	assert.True(t, quota.Open("smaller").Reserve(100))
	greedy.Close()
	assert.Equal(t, int64(350), quota.Status().Held)
}

// Whatever is taken and given back, in whatever order, never more than the bound is held, and nothing is
// left when all accounts are closed.
func TestNeverMoreThanTheBoundIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1 << 16
		quota := New(bound)
		var open []*Account
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch {
			case len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "closes") == 0:
				index := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[index].Close()
				open = append(open[:index], open[index+1:]...)
			default:
				account := quota.Open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"))
				account.Reserve(int64(rapid.IntRange(0, bound).Draw(t, "bytes")))
				open = append(open, account)
			}
			status := quota.Status()
			assert.LessOrEqual(t, status.Held, int64(bound))
			sum := int64(0)
			for _, held := range status.Tenants {
				sum += held
			}
			assert.Equal(t, status.Held, sum)
		}
		for _, account := range open {
			account.Close()
		}
		assert.Equal(t, Status{Bound: bound, Refused: quota.Status().Refused, Tenants: map[string]int64{}}, quota.Status())
	})
}

func TestNilAccountIsBoundedByNothing(t *testing.T) {
	var account *Account
	assert.True(t, account.Reserve(1<<40))
	account.Close()
}

// A body of 1 MB that is announced and of which a byte came holds a piece; whole ones are read whole,
// by whatever reads, and hold no more than a byte more than their size.
func TestReadAllChargesWhatHasCome(t *testing.T) {
	quota := New(8 << 20)
	account := quota.Open("tenant")
	_, err := ReadAll(io.MultiReader(bytes.NewReader([]byte{1}), iotest.ErrReader(errors.New("left"))), 1<<20, account)
	require.Error(t, err)
	assert.Equal(t, int64(pieceBytes), quota.Status().Held)
	account.Close()
	for _, size := range []int{0, 1, 800, pieceBytes, pieceBytes + 1, 300_000} {
		body := bytes.Repeat([]byte{7}, size)
		for _, told := range []int64{-1, int64(size)} {
			account := quota.Open("tenant")
			read, err := ReadAll(iotest.OneByteReader(bytes.NewReader(body)), told, account)
			require.NoError(t, err)
			assert.Equal(t, size, len(read))
			if told > 0 {
				assert.LessOrEqual(t, quota.Status().Held, told+1)
			}
			account.Close()
		}
	}
}

func TestReadAllEndsWhereTheQuotaDoes(t *testing.T) {
	quota := New(4 * pieceBytes)
	read, err := ReadAll(bytes.NewReader(make([]byte, 1<<20)), 1<<20, quota.Open("tenant"))
	assert.ErrorIs(t, err, ErrExhausted)
	assert.LessOrEqual(t, len(read), 2*pieceBytes)
}
