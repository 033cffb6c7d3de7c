package endpoint

import (
	"context"
	"time"
)

// openEngineConn takes a connection of the engine's pool on first use.
func (c *connection) openEngineConn() error {
	if c.engineConn != nil {
		return nil
	}
	c.server.engineMu.RLock()
	defer c.server.engineMu.RUnlock()
	conn, err := c.server.engine.db.Conn(context.Background())
	c.engineConn = conn
	return err
}

// runStatement runs a statement on the engine so that the client can cancel it.
// An error aborts the open transaction block.
func (c *connection) runStatement(query string, args []any) (result, error) {
	if err := c.openEngineConn(); err != nil {
		return result{}, asSQLError(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.cancelRunning = cancel
	c.mu.Unlock()
	defer cancel()
	r, err := executeSQL(ctx, c.engineConn, query, args)
	if err == nil {
		return r, nil
	}
	if c.txStatus == 'T' {
		c.txStatus = 'E'
	}
	if ctx.Err() != nil {
		return result{}, sqlError{
			sqlState: sqlStateQueryCanceled,
			message:  "canceling statement due to user request",
		}
	}
	return result{}, asSQLError(err)
}

// beginTransaction begins a transaction and sets the status that ReadyForQuery
// reports: T for a transaction block, I for an implicit transaction. A primary
// takes the write lock at once, so that two writers wait for each other instead
// of failing when they upgrade their read locks.
func (c *connection) beginTransaction(txStatus byte) (result, error) {
	if err := c.openEngineConn(); err != nil {
		return result{}, asSQLError(err)
	}
	beginStatement := "BEGIN"
	if c.server.IsPrimary() {
		beginStatement = "BEGIN IMMEDIATE"
	}
	if _, err := c.engineConn.ExecContext(context.Background(), beginStatement); err != nil {
		return result{}, asSQLError(err)
	}
	c.inTransaction = true
	c.txStatus = txStatus
	c.changes = nil
	return result{
		commandTag: "BEGIN",
	}, nil
}

// executeWrite runs a statement that changes data. It begins an implicit
// transaction when none is open.
func (c *connection) executeWrite(query string, args []any) (result, error) {
	if !c.server.IsPrimary() {
		if c.txStatus == 'T' {
			c.txStatus = 'E'
		}
		return result{}, sqlError{
			sqlState: sqlStateReadOnlyTransaction,
			message:  "cannot execute " + firstKeyword(query) + " in a read-only transaction",
		}
	}
	if !c.inTransaction {
		if _, err := c.beginTransaction('I'); err != nil {
			return result{}, err
		}
	}
	r, err := c.runStatement(query, args)
	if err == nil {
		c.changes = append(c.changes, change{
			Query:     query,
			Arguments: args,
		})
	}
	return r, err
}

// commit commits the transaction and appends its changes to the log. It fails
// when the transaction has changes and the endpoint is no longer the primary. An
// aborted transaction is rolled back.
func (c *connection) commit() (result, error) {
	if c.txStatus == 'E' || !c.inTransaction {
		r := c.rollback()
		if r.commandTag == "" {
			r.commandTag = "COMMIT"
		}
		return r, nil
	}
	l := c.server.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(c.changes) > 0 && !l.isPrimary {
		c.rollback()
		return result{}, sqlError{
			sqlState: sqlStateReadOnlyTransaction,
			message:  "the primary was replaced before the commit",
		}
	}
	if _, err := c.engineConn.ExecContext(context.Background(), "COMMIT"); err != nil {
		c.rollback()
		return result{}, asSQLError(err)
	}
	if len(c.changes) > 0 {
		c.hasCommittedWrite = true
		l.append(logEntry{
			Term:        l.term,
			Changes:     c.changes,
			CommittedAt: time.Now(),
		})
		l.appliedLSN = l.lastLSN()
	}
	c.endTransaction()
	return result{
		commandTag: "COMMIT",
	}, nil
}

// rollback rolls back the open transaction, if any.
func (c *connection) rollback() result {
	if c.inTransaction {
		_, _ = c.engineConn.ExecContext(context.Background(), "ROLLBACK")
	}
	c.endTransaction()
	return result{
		commandTag: "ROLLBACK",
	}
}

// endTransaction resets the transaction state of the connection.
func (c *connection) endTransaction() {
	c.inTransaction = false
	c.txStatus = 'I'
	c.changes = nil
}
