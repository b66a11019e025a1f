package network

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// ReadCBOR decodes a request's body of at most limit bytes and returns its size. On failure it
// answers the request with an error, and ok is false.
func ReadCBOR[T any](writer http.ResponseWriter, request *http.Request, limit int64) (value T, size int, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err != nil {
		http.Error(writer, "body too large", http.StatusRequestEntityTooLarge)
		return value, 0, false
	}
	if err := cbor.Unmarshal(body, &value); err != nil {
		http.Error(writer, "body is not the CBOR that is expected here", http.StatusBadRequest)
		return value, len(body), false
	}
	return value, len(body), true
}

// WriteCBOR answers a request with a value and returns the size of the body.
func WriteCBOR(writer http.ResponseWriter, value any) int {
	data, err := cbor.Marshal(value)
	if err != nil {
		http.Error(writer, "can't encode the answer", http.StatusInternalServerError)
		return 0
	}
	// A failed write means that the client has disconnected.
	_, _ = writer.Write(data)
	return len(data)
}
