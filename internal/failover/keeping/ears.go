package keeping

import (
	"sync"
	"time"
)

// deafAfter is how long a witness has not heard the holder before it promises
// to listen to it no more.
const deafAfter = 800 * time.Millisecond

// Ears keep when a witness last heard the holder of the lease, and up to which
// token it has promised to listen no more. They may be used by several
// threads.
type Ears struct {
	mu       sync.Mutex
	token    uint64
	heardAt  time.Time
	promised uint64
}

// Learned notes the token of the present holder. A new holder counts as heard
// when it is first known.
func (e *Ears) Learned(token uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token > e.token {
		e.token = token
		e.heardAt = now
	}
}

// SilentFor returns for how long the present holder has not been heard.
func (e *Ears) SilentFor(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.heardAt)
}

// Heard notes an answer of the holder of a token to a question. It is false
// when the witness has promised to listen to that holder no more.
func (e *Ears) Heard(token uint64, askedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token <= e.promised {
		return false
	}
	if askedAt.After(e.heardAt) {
		e.heardAt = askedAt
	}
	return true
}

// Listens reports whether the holder of a token may be asked.
func (e *Ears) Listens(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return token > e.promised
}

// Promise promises to listen no more to the holder of a token, false while the
// holder was heard lately.
func (e *Ears) Promise(token uint64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token < e.token || now.Sub(e.heardAt) < deafAfter {
		return false
	}
	e.promised = max(e.promised, token)
	return true
}
