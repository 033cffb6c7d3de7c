package endpoint

import (
	"context"
	"time"
)

func (c *connection) open() error {
	if c.sql != nil {
		return nil
	}
	c.server.dataMu.RLock()
	defer c.server.dataMu.RUnlock()
	conn, err := c.server.data.db.Conn(context.Background())
	c.sql = conn
	return err
}

func (c *connection) runStatement(query string, args []any) (result, error) {
	if err := c.open(); err != nil {
		return result{}, asSQLError(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	defer cancel()
	r, err := run(ctx, c.sql, query, args)
	if err == nil {
		return r, nil
	}
	if c.status == 'T' {
		c.status = 'E'
	}
	if ctx.Err() != nil {
		return result{}, sqlError{
			state:   stateCanceled,
			message: "canceling statement due to user request",
		}
	}
	return result{}, asSQLError(err)
}

func (c *connection) begin(status byte) (result, error) {
	if err := c.open(); err != nil {
		return result{}, asSQLError(err)
	}
	statement := "BEGIN"
	if c.server.IsPrimary() {
		statement = "BEGIN IMMEDIATE"
	}
	if _, err := c.sql.ExecContext(context.Background(), statement); err != nil {
		return result{}, asSQLError(err)
	}
	c.begun = true
	c.status = status
	c.changes = nil
	return result{
		tag: "BEGIN",
	}, nil
}

// write runs a statement that changes data, and opens the implicit transaction
// when none is open.
func (c *connection) write(query string, args []any) (result, error) {
	if !c.server.IsPrimary() {
		if c.status == 'T' {
			c.status = 'E'
		}
		return result{}, sqlError{
			state:   stateReadOnly,
			message: "cannot execute " + keyword(query) + " in a read-only transaction",
		}
	}
	if !c.begun {
		if _, err := c.begin('I'); err != nil {
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

// commit ends the transaction; with changes only on a primary whose term
// still stands.
func (c *connection) commit() (result, error) {
	if c.status == 'E' || !c.begun {
		r := c.rollback()
		if r.tag == "" {
			r.tag = "COMMIT"
		}
		return r, nil
	}
	h := c.server.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(c.changes) > 0 && !h.primary {
		c.rollback()
		return result{}, sqlError{
			state:   stateReadOnly,
			message: "the primary was replaced before the commit",
		}
	}
	if _, err := c.sql.ExecContext(context.Background(), "COMMIT"); err != nil {
		c.rollback()
		return result{}, asSQLError(err)
	}
	if len(c.changes) > 0 {
		c.wrote = true
		h.append(entry{
			Term:        h.term,
			Changes:     c.changes,
			CommittedAt: time.Now(),
		})
		h.applied = h.last()
	}
	c.endTransaction()
	return result{
		tag: "COMMIT",
	}, nil
}

func (c *connection) rollback() result {
	if c.begun {
		_, _ = c.sql.ExecContext(context.Background(), "ROLLBACK")
	}
	c.endTransaction()
	return result{
		tag: "ROLLBACK",
	}
}

func (c *connection) endTransaction() {
	c.begun = false
	c.status = 'I'
	c.changes = nil
}
