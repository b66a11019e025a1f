package gateway

import (
	"encoding/hex"
	"net/http"

	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/coordination/quarantine"
)

// ReleasePath is where the administration address of an entry takes an operator's wish to send a
// content to servers again, with the content's identity in hex behind it. The whole fleet follows. It
// answers 204, 404 if nothing is held against the content, or 400.
const ReleasePath = "/contents/release/"

const contentParameter = "content"

func (g *Gateway) release(writer http.ResponseWriter, request *http.Request) {
	var content [quarantine.FingerprintSize]byte
	decoded, err := hex.DecodeString(chi.URLParam(request, contentParameter))
	if err != nil || copy(content[:], decoded) != len(content) || len(decoded) != len(content) {
		http.Error(writer, "a content is named by 32 hexadecimal digits", http.StatusBadRequest)
		return
	}
	if !g.forwarder.ReleaseQuarantine(content) {
		http.Error(writer, "nothing is held against this content here", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
