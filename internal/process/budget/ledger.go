package budget

import (
	"sync"

	"rosemarylb"
)

const (
	// queryOverhead is the size of a query beside its text, in bytes.
	queryOverhead = 512
	// queryCopies is the number of copies of a query's text that exist until it is
	// answered: the caller's message and the one for an endpoint.
	queryCopies = 2
	// stateCopies is the number of copies of a session's settings and prepared
	// statements: the caller's message, the key of the settings, and the message that
	// restores them on a connection.
	stateCopies = 3
	// maxNames bounds the settings and prepared statements of one session. Each change
	// costs time in proportion to their number.
	maxNames = 4096
)

// Ledger counts the queries of a session that wait for their answers, and the state
// that answered queries left in the session. It is safe for concurrent use.
type Ledger struct {
	account *Account

	mu      sync.Mutex // guards the fields below
	pending []entry
	state   map[name]int64
}

// name identifies a setting or a prepared statement of a session.
type name struct {
	prepared bool
	text     string
}

// entry is a query that waits for its answer.
type entry struct {
	kind  rosemarylb.QueryKind
	name  string
	bytes int64
}

// NewLedger returns the ledger of a session, which reports to the account of its
// connection.
func NewLedger(a *Account) *Ledger {
	return &Ledger{
		account: a,
		state:   map[name]int64{},
	}
}

// Received counts a query whose message has the given size in bytes. It returns false
// if the session has to be closed.
func (l *Ledger) Received(q rosemarylb.Query, messageBytes int) bool {
	e := entry{
		kind:  q.Kind,
		bytes: int64(messageBytes) + queryOverhead,
	}
	switch q.Kind {
	case rosemarylb.QuerySet, rosemarylb.QueryPrepare, rosemarylb.QueryDeallocate:
		e.name = q.Name
	default:
	}
	l.mu.Lock()
	l.pending = append(l.pending, e)
	l.mu.Unlock()
	return l.account.Add(KindQueries, e.bytes*queryCopies)
}

// Answered takes the oldest query off the count, and counts the state that it left in
// the session if it succeeded. It returns false if the session has to be closed.
func (l *Ledger) Answered(code rosemarylb.ReplyCode) bool {
	l.mu.Lock()
	if len(l.pending) == 0 {
		l.mu.Unlock()
		return true
	}
	e := l.pending[0]
	l.pending = l.pending[1:]
	var change int64
	if code == rosemarylb.ReplyDone {
		change = l.apply(e)
	}
	names := len(l.state)
	l.mu.Unlock()
	if change != 0 && !l.account.Add(KindState, change*stateCopies) {
		return false
	}
	return l.account.Add(KindQueries, -e.bytes*queryCopies) && names <= maxNames
}

// apply updates the state of the session after a successful query, and returns the
// change of its size. The caller holds the lock.
func (l *Ledger) apply(e entry) int64 {
	n := name{
		prepared: e.kind != rosemarylb.QuerySet,
		text:     e.name,
	}
	before := l.state[n]
	switch e.kind {
	case rosemarylb.QuerySet, rosemarylb.QueryPrepare:
		l.state[n] = e.bytes
		return e.bytes - before
	case rosemarylb.QueryDeallocate:
		delete(l.state, n)
		return -before
	case rosemarylb.QueryReset:
		var all int64
		for _, bytes := range l.state {
			all += bytes
		}
		clear(l.state)
		return -all
	default:
		return 0
	}
}
