package soak

import (
	"fmt"
	"sync"
	"time"
)

// attempt is one operation of a caller: a statement, or a transaction.
type attempt struct {
	session   int
	group     string
	staleness time.Duration
	own       bool
	startedAt time.Time
	queries   []*query
	// commit is the identity of the commit or the single write, empty without.
	commit string
	// promised is true once an answer said that nothing is kept.
	promised bool
	// done is true once the whole was answered with success, at doneAt.
	done   bool
	doneAt time.Time
}

// query is one statement that a caller sent.
type query struct {
	attempt *attempt
	id      string
	text    string
	shape   string
	values  map[string]string
	served  bool
	// control is true for statements that the proxy answers itself.
	control   bool
	rows      []string
	signature string
}

// Ledger is what callers sent and were told, and what was found wrong.
type Ledger struct {
	mu       sync.Mutex
	begun    time.Time
	sent     map[string]*query
	attempts []*attempt
	codes    map[string]int
	wrong    []string
	seen     map[string]bool
}

func newLedger() *Ledger {
	return &Ledger{
		begun: time.Now(),
		sent:  map[string]*query{},
		codes: map[string]int{},
		seen:  map[string]bool{},
	}
}

// violate notes a broken promise, once for each text.
func (l *Ledger) violatef(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[text] {
		return
	}
	l.seen[text] = true
	l.wrong = append(l.wrong, fmt.Sprintf("%.2f s: %s", time.Since(l.begun).Seconds(), text))
}

// add notes an operation before its first byte is sent.
func (l *Ledger) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.startedAt = time.Now()
	l.attempts = append(l.attempts, a)
}

// send notes a statement before it is sent, and whether it ends its operation.
func (l *Ledger) send(q *query, ends bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ends {
		q.attempt.commit = q.id
	}
	q.attempt.queries = append(q.attempt.queries, q)
	l.sent[q.id] = q
}

// promises are the codes that say that nothing of an operation is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true, "NODB": true,
}

// answered notes an answer.
func (l *Ledger) answered(q *query, r answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	code := r.code
	if code == "" {
		code = "OK"
	}
	l.codes[code]++
	if promises[r.code] {
		q.attempt.promised = true
	}
	q.served = r.code == ""
	q.rows = r.rows
	q.signature = r.signature
}

// finish notes the success of an operation.
func (l *Ledger) finish(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.done = true
	a.doneAt = time.Now()
}

// copyAttempts returns what callers know of their operations.
func (l *Ledger) copyAttempts() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*attempt
	for _, a := range l.attempts {
		c := *a
		c.queries = nil
		for _, q := range a.queries {
			k := *q
			c.queries = append(c.queries, &k)
		}
		all = append(all, &c)
	}
	return all
}

// copySent returns the statements that callers have sent, by identity.
func (l *Ledger) copySent() map[string]query {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]query{}
	for id, q := range l.sent {
		all[id] = *q
	}
	return all
}
