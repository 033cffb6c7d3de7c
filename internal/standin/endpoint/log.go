// Package endpoint is a stand-in for a database server of a replicated group.
// It speaks the PostgreSQL protocol, keeps its data in memory and can be told
// to fail. It serves tests and the demo.
package endpoint

import (
	"sync"
	"time"

	"rosemarylb"
)

// change is one statement of a committed transaction.
type change struct {
	Query     string `json:"query"`
	Arguments []any  `json:"arguments"`
}

// entry is one committed transaction, or the first entry of a term.
type entry struct {
	Term        rosemarylb.Term `json:"term"`
	Changes     []change        `json:"changes"`
	CommittedAt time.Time       `json:"committed-at"`
}

// history is an endpoint's log and the promise that guards it. Its lock is
// held across a commit, so that a granted term never races with one.
type history struct {
	mu       sync.Mutex
	entries  []entry
	applied  rosemarylb.LSN
	term     rosemarylb.Term
	proposer string
	primary  bool
	upstream string
	current  time.Time
	grown    chan struct{}
}

func newHistory() *history {
	return &history{
		grown: make(chan struct{}),
	}
}

// position returns the position of an entry; the caller holds the lock.
func (h *history) position(lsn rosemarylb.LSN) rosemarylb.Position {
	if lsn == 0 {
		return rosemarylb.Position{}
	}
	return rosemarylb.Position{
		Term: h.entries[lsn-1].Term,
		LSN:  lsn,
	}
}

func (h *history) last() rosemarylb.LSN {
	return rosemarylb.LSN(len(h.entries))
}

// append adds an entry and wakes the readers of the log; the caller holds the
// lock.
func (h *history) append(e entry) {
	h.entries = append(h.entries, e)
	close(h.grown)
	h.grown = make(chan struct{})
}

// appliedPosition returns the last entry that readers see.
func (h *history) appliedPosition() rosemarylb.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position(h.applied)
}

// status is the answer to a control command.
type status struct {
	granted bool
	primary bool
	term    rosemarylb.Term
	log     rosemarylb.Position
	applied rosemarylb.Position
	age     time.Duration
}

// status returns the state; the caller holds the lock.
func (h *history) status(granted bool) status {
	s := status{
		granted: granted,
		primary: h.primary,
		term:    h.term,
		log:     h.position(h.last()),
		applied: h.position(h.applied),
		age:     -1,
	}
	if h.primary {
		s.age = 0
		return s
	}
	if !h.current.IsZero() {
		s.age = time.Since(h.current)
	}
	return s
}

// fence gives a term to a proposer, once.
func (h *history) fence(term rosemarylb.Term, proposer string) status {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.term || (term == h.term && proposer != h.proposer) {
		return h.status(false)
	}
	if term > h.term {
		h.term = term
		h.proposer = proposer
		h.primary = false
		h.upstream = ""
	}
	return h.status(true)
}
