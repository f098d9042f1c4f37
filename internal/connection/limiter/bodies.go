package limiter

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// bodyAllowanceBytes is the part of a body that takes nothing from the pool.
	bodyAllowanceBytes = 16 << 10
	// bodyByteCost is what each byte of a body costs that is read into a growing buffer and then
	// parsed, and whose buffer is kept for the next one.
	bodyByteCost = 8
	// bodyTimeout is how long a body may take. Other processes give a call less.
	bodyTimeout = 10 * time.Second
)

// ErrCrowded reports that the pool has too little left for a body.
var ErrCrowded = errors.New("other requests have too much in memory")

// Bodies bounds the bodies of requests that their handlers read whole. It is safe for concurrent use.
type Bodies struct{ pool *Pool }

// NewBodies returns the bound for bodies that take their memory from a pool.
func NewBodies(pool *Pool) *Bodies { return &Bodies{pool: pool} }

// Handler returns a handler that calls next. Reading a body fails with ErrCrowded if the pool has too
// little left for it; what it takes is given back when next returns.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &countedBody{ReadCloser: r.Body, pool: b.pool, conn: http.NewResponseController(w)}
		defer body.release()
		// If the connection has no deadlines, the body may take any time.
		_ = body.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// countedBody takes what is read from it from a pool.
type countedBody struct {
	io.ReadCloser
	pool       *Pool
	conn       *http.ResponseController
	size, held int
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.conn.SetReadDeadline(time.Time{}) // The connection awaits its end now, however long.
	}
	b.size += n
	need := max(b.size-bodyAllowanceBytes, 0) * bodyByteCost
	if need == b.held {
		return n, err
	}
	if !b.pool.resize(b.held, need) {
		return 0, ErrCrowded
	}
	b.held = need
	return n, err
}

func (b *countedBody) release() {
	b.pool.resize(b.held, 0)
}
