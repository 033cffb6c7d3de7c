package keeping

import (
	"sync"
	"time"
)

// silentAfter is how long a witness has not heard the holder before it promises
// to listen to it no more.
const silentAfter = 800 * time.Millisecond

// Witness keeps when a witness last heard the holder of the lease, and up to which
// token it has promised to listen no more. It may be used by several
// threads.
type Witness struct {
	mu       sync.Mutex
	token    uint64
	heardAt  time.Time
	promised uint64
}

// Learned notes the token of the present holder. A new holder counts as heard
// when it is first known.
func (w *Witness) Learned(token uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token > w.token {
		w.token = token
		w.heardAt = now
	}
}

// SilentFor returns for how long the present holder has not been heard.
func (w *Witness) SilentFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.heardAt)
}

// Heard notes an answer of the holder of a token to a question. It is false
// when the witness has promised to listen to that holder no more.
func (w *Witness) Heard(token uint64, askedAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token <= w.promised {
		return false
	}
	if askedAt.After(w.heardAt) {
		w.heardAt = askedAt
	}
	return true
}

// Listens reports whether the holder of a token may be asked.
func (w *Witness) Listens(token uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return token > w.promised
}

// Promise promises to listen no more to the holder of a token, false while the
// holder was heard lately.
func (w *Witness) Promise(token uint64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.token || now.Sub(w.heardAt) < silentAfter {
		return false
	}
	w.promised = max(w.promised, token)
	return true
}
