package silencer

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A blackholed connection accepts bytes, forwards none and stays open; later ones work.
func TestBlackholedConnectionsForwardNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	proxy, err := NewProxy(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	connect := func() (near, far net.Conn) {
		near, err := net.Dial("tcp", proxy.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = near.Close() })
		far, err = listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = far.Close() })
		return near, far
	}
	oldNear, oldFar := connect()
	assert.True(t, receives(t, oldNear, oldFar))
	assert.Equal(t, 1, proxy.Blackhole())
	assert.False(t, receives(t, oldNear, oldFar))
	assert.False(t, receives(t, oldFar, oldNear))
	newNear, newFar := connect()
	assert.True(t, receives(t, newNear, newFar))
	assert.True(t, receives(t, newFar, newNear))
}
