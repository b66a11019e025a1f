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

// A tenant whose requests never finish leaves half of the bytes to the others, and each further tenant
// gets half of the remaining ones.
func TestOneTenantLeavesRoomForOthers(t *testing.T) {
	quota := New(1000)
	large := quota.Open("large")
	reserved := 0
	for large.Reserve(10) {
		reserved += 10
	}
	assert.Equal(t, 500, reserved)
	assert.True(t, quota.Open("small").Reserve(250))
	assert.False(t, quota.Open("large").Reserve(10), "the tenant already holds more than is free")
	assert.True(t, quota.Open("smaller").Reserve(100))
	large.Close()
	assert.Equal(t, int64(350), quota.Status().Held)
}

// In any order of reservations and releases, never more than the bound is held, and nothing remains
// held when all accounts are closed.
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

func TestNilAccountIsUnlimited(t *testing.T) {
	var account *Account
	assert.True(t, account.Reserve(1<<40))
	account.Close()
}

// An announced body of 1 MB of which one byte arrived is charged for a single chunk. Complete bodies are
// read completely, also byte by byte, and are charged at most one byte more than their announced size.
func TestReadAllChargesArrivedBytes(t *testing.T) {
	quota := New(8 << 20)
	account := quota.Open("tenant")
	_, err := ReadAll(io.MultiReader(bytes.NewReader([]byte{1}), iotest.ErrReader(errors.New("left"))), 1<<20, account)
	require.Error(t, err)
	assert.Equal(t, int64(chunkBytes), quota.Status().Held)
	account.Close()
	for _, size := range []int{0, 1, 800, chunkBytes, chunkBytes + 1, 300_000} {
		body := bytes.Repeat([]byte{7}, size)
		for _, announced := range []int64{-1, int64(size)} {
			account := quota.Open("tenant")
			read, err := ReadAll(iotest.OneByteReader(bytes.NewReader(body)), announced, account)
			require.NoError(t, err)
			assert.Equal(t, size, len(read))
			if announced > 0 {
				assert.LessOrEqual(t, quota.Status().Held, announced+1)
			}
			account.Close()
		}
	}
}

func TestReadAllStopsWhenTheQuotaIsExhausted(t *testing.T) {
	quota := New(4 * chunkBytes)
	read, err := ReadAll(bytes.NewReader(make([]byte, 1<<20)), 1<<20, quota.Open("tenant"))
	assert.ErrorIs(t, err, ErrExhausted)
	assert.LessOrEqual(t, len(read), 2*chunkBytes)
}
