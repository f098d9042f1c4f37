package keyer

import (
	"encoding/json"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"
)

const (
	// PathPrefix starts the paths of Handler.
	PathPrefix   = "/keys/"
	claimPath    = PathPrefix + "claim"
	transferPath = PathPrefix + "transfer"
	// maxMessageSize bounds a message between keyers, in bytes.
	maxMessageSize = 64 << 20
)

// Handler serves the keyers of other instances at the node's peer address,
// below PathPrefix. The retention is that of the service at the time.
func (k *Keyer) Handler(retention func() time.Duration) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(claimPath), func(w http.ResponseWriter, r *http.Request) {
		var req ClaimRequest
		if !decode(w, r, &req) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The asking side notices an answer that breaks off.
		_ = json.NewEncoder(w).Encode(k.Claim(req, retention()))
	})
	mux.HandleFunc(pat.Post(transferPath), func(w http.ResponseWriter, r *http.Request) {
		var req TransferRequest
		if !decode(w, r, &req) {
			return
		}
		if err := k.Transfer(req); err != nil {
			http.Error(w, err.Error(), http.StatusInsufficientStorage)
		}
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageSize)).Decode(message)
	if err != nil {
		http.Error(w, "message cannot be read", http.StatusBadRequest)
	}
	return err == nil
}
