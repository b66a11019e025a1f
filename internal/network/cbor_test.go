package network

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A body that is too long or is not CBOR of the expected type is answered with an error.
func TestReadCBORDecodesOrRejectsBodies(t *testing.T) {
	type question struct{ Name string }
	const limit = 64
	valid, err := cbor.Marshal(question{Name: "a"})
	require.NoError(t, err)
	for name, one := range map[string]struct {
		body   []byte
		status int
	}{
		"valid":      {valid, http.StatusOK},
		"empty":      {nil, http.StatusBadRequest},
		"truncated":  {valid[:len(valid)-1], http.StatusBadRequest},
		"wrong type": {[]byte{0x81, 0x01}, http.StatusBadRequest},
		"too long":   {[]byte(strings.Repeat("x", limit+1)), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(one.body))
			value, size, ok := ReadCBOR[question](recorder, request, limit)
			assert.Equal(t, one.status, recorder.Code)
			assert.Equal(t, one.status == http.StatusOK, ok)
			if ok {
				assert.Equal(t, question{Name: "a"}, value)
				assert.Equal(t, len(valid), size)
			}
		})
	}
}

func TestWriteCBOREncodesAnswers(t *testing.T) {
	recorder := httptest.NewRecorder()
	assert.Equal(t, 2, WriteCBOR(recorder, []int{1}))
	assert.Equal(t, []byte{0x81, 0x01}, recorder.Body.Bytes())
	recorder = httptest.NewRecorder()
	assert.Zero(t, WriteCBOR(recorder, make(chan int)))
	assert.Equal(t, http.StatusInternalServerError, recorder.Code)
}
