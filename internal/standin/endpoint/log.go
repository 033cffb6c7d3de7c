// Package endpoint implements a simulated database server of a replicated group
// for tests and the demo. It speaks the PostgreSQL protocol, keeps its data in
// memory and can inject faults.
package endpoint

import (
	"sync"
	"time"

	"rosemarylb"
)

// change is a statement of a committed transaction that modified data.
type change struct {
	Query     string `json:"query"`
	Arguments []any  `json:"arguments"`
}

// logEntry is a committed transaction, or the empty entry that a new primary
// appends at the start of its term.
type logEntry struct {
	Term        rosemarylb.Term `json:"term"`
	Changes     []change        `json:"changes"`
	CommittedAt time.Time       `json:"committed-at"`
}

// transactionLog is the replicated log of an endpoint with its fencing term. The
// lock is held across a commit, so that no commit of an earlier term completes
// after a new term is granted.
type transactionLog struct {
	mu         sync.Mutex
	entries    []logEntry
	appliedLSN rosemarylb.LSN
	term       rosemarylb.Term
	proposer   string
	isPrimary  bool
	upstream   string
	caughtUpAt time.Time
	appended   chan struct{}
}

func newTransactionLog() *transactionLog {
	return &transactionLog{
		appended: make(chan struct{}),
	}
}

// position returns the term and LSN of an entry. The caller holds the lock.
func (l *transactionLog) position(lsn rosemarylb.LSN) rosemarylb.Position {
	if lsn == 0 {
		return rosemarylb.Position{}
	}
	return rosemarylb.Position{
		Term: l.entries[lsn-1].Term,
		LSN:  lsn,
	}
}

func (l *transactionLog) lastLSN() rosemarylb.LSN {
	return rosemarylb.LSN(len(l.entries))
}

// append adds an entry and wakes the replicas that wait for one. The caller
// holds the lock.
func (l *transactionLog) append(e logEntry) {
	l.entries = append(l.entries, e)
	close(l.appended)
	l.appended = make(chan struct{})
}

// appliedPosition returns the position of the last entry that queries see.
func (l *transactionLog) appliedPosition() rosemarylb.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position(l.appliedLSN)
}

// controlStatus is the result of a control function.
type controlStatus struct {
	granted         bool
	isPrimary       bool
	term            rosemarylb.Term
	logPosition     rosemarylb.Position
	appliedPosition rosemarylb.Position
	staleness       time.Duration
}

// status returns the replication state. The staleness is negative while the
// replica has not yet caught up with a primary. The caller holds the lock.
func (l *transactionLog) status(granted bool) controlStatus {
	s := controlStatus{
		granted:         granted,
		isPrimary:       l.isPrimary,
		term:            l.term,
		logPosition:     l.position(l.lastLSN()),
		appliedPosition: l.position(l.appliedLSN),
		staleness:       -1,
	}
	if l.isPrimary {
		s.staleness = 0
		return s
	}
	if !l.caughtUpAt.IsZero() {
		s.staleness = time.Since(l.caughtUpAt)
	}
	return s
}

// fence grants a term to a proposer and ends the role in any earlier term. A
// term is granted to one proposer only; repeating the call is safe.
func (l *transactionLog) fence(term rosemarylb.Term, proposer string) controlStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term || (term == l.term && proposer != l.proposer) {
		return l.status(false)
	}
	if term > l.term {
		l.term = term
		l.proposer = proposer
		l.isPrimary = false
		l.upstream = ""
	}
	return l.status(true)
}
