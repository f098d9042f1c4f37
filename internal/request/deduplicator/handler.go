package deduplicator

import (
	"encoding/json"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"
)

const (
	// PathPrefix is the common prefix of the paths that Handler serves.
	PathPrefix   = "/keys/"
	claimPath    = PathPrefix + "claim"
	transferPath = PathPrefix + "transfer"
	// maxMessageSize is the maximum size of a message between deduplicators, in bytes.
	maxMessageSize = 64 << 20
)

// Handler returns the handler of messages from other deduplicators, under PathPrefix at
// the node's peer address. On every claim it calls retention, which returns the
// current setting of the service.
func (d *Deduplicator) Handler(retention func() time.Duration) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(claimPath), func(w http.ResponseWriter, r *http.Request) {
		var req ClaimRequest
		if !decode(w, r, &req) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The error is ignored, since the client detects a truncated response.
		_ = json.NewEncoder(w).Encode(d.Claim(req, retention()))
	})
	mux.HandleFunc(pat.Post(transferPath), func(w http.ResponseWriter, r *http.Request) {
		var req TransferRequest
		if !decode(w, r, &req) {
			return
		}
		if err := d.Transfer(req); err != nil {
			http.Error(w, err.Error(), http.StatusInsufficientStorage)
		}
	})
	return mux
}

// decode reads a JSON message from the body of a request. If that fails, it
// responds with 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageSize)).Decode(message)
	if err != nil {
		http.Error(w, "cannot decode message", http.StatusBadRequest)
	}
	return err == nil
}
