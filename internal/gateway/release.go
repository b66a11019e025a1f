package gateway

import (
	"encoding/hex"
	"net/http"

	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/coordination/quarantine"
)

// ReleasePath is the path of an entry's administration address with which an operator releases a
// quarantined fingerprint, given in hex at the end of the path. The release applies to the whole
// fleet. The response is 204, 404 if the fingerprint is neither suspected nor quarantined, or 400.
const ReleasePath = "/contents/release/"

const fingerprintParameter = "content"

func (g *Gateway) releaseFingerprint(writer http.ResponseWriter, request *http.Request) {
	var fingerprint [quarantine.FingerprintSize]byte
	decoded, err := hex.DecodeString(chi.URLParam(request, fingerprintParameter))
	if err != nil || copy(fingerprint[:], decoded) != len(fingerprint) || len(decoded) != len(fingerprint) {
		http.Error(writer, "a content is named by 32 hexadecimal digits", http.StatusBadRequest)
		return
	}
	if !g.forwarder.ReleaseQuarantine(fingerprint) {
		http.Error(writer, "nothing is held against this content here", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
