package keeperduty

import (
	"sync"
	"time"
)

// holderSilenceTimeout is the time without an answer of the lease holder after which
// a witness may promise to ignore it.
const holderSilenceTimeout = 800 * time.Millisecond

// Witness is the state of an instance as a witness of the lease: when the holder last
// answered it, and the highest token whose holder it has promised to ignore. It is
// safe for concurrent use.
type Witness struct {
	mu             sync.Mutex
	token          uint64
	lastAnsweredAt time.Time
	ignoredToken   uint64
	// answeringToken and answeringAddress are those of the latest holder that answered this
	// instance.
	answeringToken   uint64
	answeringAddress string
}

// ObserveHolder records the token of the current holder. A new holder counts as
// having answered when its token is first seen.
func (w *Witness) ObserveHolder(token uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token > w.token {
		w.token = token
		w.lastAnsweredAt = now
	}
}

// HolderSilence returns the time since the current holder last answered.
func (w *Witness) HolderSilence(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastAnsweredAt)
}

// ObserveAnswer records that the holder of a token answered a request sent at
// requestedAt. It returns false when the witness has promised to ignore that
// holder; the answer must then be discarded.
func (w *Witness) ObserveAnswer(token uint64, requestedAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token <= w.ignoredToken {
		return false
	}
	if requestedAt.After(w.lastAnsweredAt) {
		w.lastAnsweredAt = requestedAt
	}
	return true
}

// ObserveAnsweringHolder records the host:port of a holder that answered this instance.
func (w *Witness) ObserveAnsweringHolder(token uint64, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token >= w.answeringToken {
		w.answeringToken = token
		w.answeringAddress = address
	}
}

// AnsweringHolder returns the token and the host:port of the latest holder that answered
// this instance, 0 for none.
func (w *Witness) AnsweringHolder() (uint64, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeringToken, w.answeringAddress
}

// Accepts reports whether requests may be sent to the holder of a token: the witness
// has not promised to ignore it.
func (w *Witness) Accepts(token uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return token > w.ignoredToken
}

// PromiseToIgnore promises to ignore the holder of a token. It returns false, without a
// promise, when a later holder is known or the current one answered within
// holderSilenceTimeout.
func (w *Witness) PromiseToIgnore(token uint64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.token || now.Sub(w.lastAnsweredAt) < holderSilenceTimeout {
		return false
	}
	w.ignoredToken = max(w.ignoredToken, token)
	return true
}
