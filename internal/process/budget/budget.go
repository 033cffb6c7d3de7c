// Package budget decides which connections a process accepts and which it closes, so
// that its descriptors and the bytes that it holds for callers stay within limits. It
// knows no sockets.
package budget

import (
	"log/slog"
	"sync"
)

// shareDivisor is the part of the budget that a single connection may hold.
const shareDivisor = 2

// Budget is the limit of the bytes that a process holds for the connections of
// callers, endpoints and other instances. It is safe for concurrent use.
type Budget struct {
	limit    int64
	closings *reporter

	mu       sync.Mutex // guards the fields below and those of the accounts
	held     int64
	accounts map[*Account]struct{}
}

// NewBudget returns a budget of limit bytes. A single connection may hold half of
// them.
func NewBudget(limit int64, log *slog.Logger) *Budget {
	return &Budget{
		limit:    limit,
		closings: newReporter(log, "connections closed"),
		accounts: map[*Account]struct{}{},
	}
}

// Held returns the number of bytes held by all connections that are not being closed.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Open returns the account of a new connection. If the connection has to be closed,
// closeConn is called; it must not block and must not use the account.
func (b *Budget) Open(closeConn func()) *Account {
	a := &Account{
		budget:    b,
		closeConn: closeConn,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// closing is the decision to close a connection.
type closing struct {
	account *Account
	reason  reason
	// bytes is what the connection holds.
	bytes int64
}

// chooseClosings decides which connections to close after an account has changed, those
// that hold most first, and marks their accounts. The caller holds the lock.
func (b *Budget) chooseClosings(changed *Account) []closing {
	var chosen []closing
	if changed.total > b.limit/shareDivisor {
		chosen = append(chosen, changed.markClosing(reasonShare))
	}
	for b.held > b.limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		chosen = append(chosen, largest.markClosing(reasonBudget))
	}
	return chosen
}

// largest returns the account that holds most, nil if all are being closed. The caller
// holds the lock.
func (b *Budget) largest() *Account {
	var largest *Account
	for a := range b.accounts {
		if !a.closing && (largest == nil || a.total > largest.total) {
			largest = a
		}
	}
	return largest
}

// carryOut closes connections. The caller must not hold the lock.
func (b *Budget) carryOut(chosen []closing) {
	for _, c := range chosen {
		closedTotal[c.reason].Inc()
		b.closings.report("reason", reasonNames[c.reason], "bytes", c.bytes, "limit", b.limit)
		c.account.closeConn()
	}
}
