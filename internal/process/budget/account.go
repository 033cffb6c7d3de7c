package budget

// Kind is what bytes are held for.
type Kind uint8

// The kinds.
const (
	// KindInput is input that is not parsed yet.
	KindInput Kind = iota
	// KindQueries is queries without an answer.
	KindQueries
	// KindState is session settings and prepared statements.
	KindState
	// KindOutput is answers that the peer has not read.
	KindOutput
	// KindCount is the number of kinds.
	KindCount
)

// Account is the part of a budget that one connection holds.
type Account struct {
	budget    *Budget
	closeConn func()

	// The fields below are guarded by the lock of the budget.
	bytes   [KindCount]int64
	total   int64
	closing bool
	closed  bool
}

// Set sets the number of bytes that the connection holds for a kind. It returns false
// if the connection is to be closed.
func (a *Account) Set(kind Kind, bytes int64) bool {
	return a.change(func() {
		a.update(kind, bytes)
	})
}

// Add adds to the number of bytes that the connection holds for a kind. It returns
// false if the connection is to be closed.
func (a *Account) Add(kind Kind, bytes int64) bool {
	return a.change(func() {
		a.update(kind, a.bytes[kind]+bytes)
	})
}

// change applies a change and closes the connections that the budget chooses.
func (a *Account) change(apply func()) bool {
	b := a.budget
	b.mu.Lock()
	if a.closing || a.closed {
		b.mu.Unlock()
		return false
	}
	apply()
	chosen := b.chooseClosings(a)
	alive := !a.closing
	b.mu.Unlock()
	b.carryOut(chosen)
	return alive
}

// update sets the bytes of a kind. The caller holds the lock of the budget.
func (a *Account) update(kind Kind, bytes int64) {
	change := bytes - a.bytes[kind]
	a.bytes[kind] = bytes
	a.total += change
	a.budget.held += change
	heldBytes[kind].Add(float64(change))
}

// markClosing takes the account out of the sum and returns the decision to close its
// connection. The caller holds the lock of the budget.
func (a *Account) markClosing(r reason) closing {
	a.closing = true
	a.budget.held -= a.total
	return closing{
		account: a,
		reason:  r,
		bytes:   a.total,
	}
}

// Close ends the account when its connection has been closed.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	if !a.closing {
		b.held -= a.total
	}
	for kind, bytes := range a.bytes {
		heldBytes[kind].Add(-float64(bytes))
	}
	delete(b.accounts, a)
}
