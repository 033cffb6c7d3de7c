package endpoint

import (
	"context"
	"database/sql"
	"net"
	"strings"
	"sync"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// SQLSTATEs that the stand-in answers with.
const (
	stateReadOnly    = "25006"
	stateAborted     = "25P02"
	stateTooMany     = "53300"
	stateUnique      = "23505"
	stateSyntax      = "42601"
	stateNoStatement = "26000"
	stateSerialize   = "40001"
	stateCanceled    = "57014"
	stateInternal    = "XX000"
)

// positionParameter reports the position that an answer contains.
const positionParameter = "commit_position"

// sqlError is a failure with its SQLSTATE.
type sqlError struct {
	state   string
	message string
}

// Error implements error.
func (e sqlError) Error() string {
	return e.message
}

type prepared struct {
	query string
	types []uint32
}

type portal struct {
	query   string
	args    []any
	formats []int16
}

// connection serves one client.
type connection struct {
	server   *Server
	socket   net.Conn
	backend  *pgproto3.Backend
	process  uint32
	peer     string
	closed   chan struct{}
	once     sync.Once
	types    *pgtype.Map
	sql      *sql.Conn
	prepared map[string]prepared
	portals  map[string]portal
	status   byte
	begun    bool
	changes  []change
	wrote    bool
	reported rosemarylb.Position
	skipping bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

func (s *Server) serve(socket net.Conn) {
	c := &connection{
		server:   s,
		socket:   socket,
		backend:  pgproto3.NewBackend(socket, socket),
		closed:   make(chan struct{}),
		types:    pgtype.NewMap(),
		prepared: map[string]prepared{},
		portals:  map[string]portal{},
		status:   'I',
	}
	defer c.kill()
	if !c.start() {
		return
	}
	defer s.forget(c)
	defer c.release()
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		s.faults.waitAudible(c.peer, c.closed)
		if !c.handle(message) {
			return
		}
	}
}

func (c *connection) internal() bool {
	return strings.Contains(c.peer, replicaName) || strings.Contains(c.peer, "control")
}

func (c *connection) kill() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
	})
	c.interrupt()
}

func (c *connection) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *connection) release() {
	if c.sql == nil {
		return
	}
	if c.begun {
		_, _ = c.sql.ExecContext(context.Background(), "ROLLBACK")
	}
	_ = c.sql.Close()
}

// start answers the start-up message, false when the connection ends there.
func (c *connection) start() bool {
	message, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := message.(type) {
	case *pgproto3.CancelRequest:
		c.server.cancel(m.ProcessID)
		return false
	case *pgproto3.StartupMessage:
		c.peer = m.Parameters["application_name"]
	default:
		return false
	}
	c.server.faults.waitAudible(c.peer, c.closed)
	c.server.mu.Lock()
	c.server.next++
	c.process = c.server.next
	c.server.mu.Unlock()
	if !c.server.admit(c) {
		c.fail(sqlError{
			state:   stateTooMany,
			message: "too many connections",
		})
		_ = c.backend.Flush()
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: c.process,
		SecretKey: []byte{0, 0, 0, 1},
	})
	return c.ready()
}

func (c *connection) handle(message pgproto3.FrontendMessage) bool {
	if _, sync := message.(*pgproto3.Sync); c.skipping && !sync {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		return c.simple(m.String)
	case *pgproto3.Parse:
		c.prepared[m.Name] = prepared{
			query: m.Query,
			types: append([]uint32(nil), m.ParameterOIDs...),
		}
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Execute:
		c.executePortal(m.Portal)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.endImplicit()
		return c.ready()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

// ready ends an answer. It returns false when the answer is to be lost.
func (c *connection) ready() bool {
	if c.wrote {
		c.wrote = false
		if c.server.faults.loseAnswer() {
			return false
		}
	}
	if p := c.server.history.appliedPosition(); p != c.reported {
		c.reported = p
		c.backend.Send(&pgproto3.ParameterStatus{
			Name:  positionParameter,
			Value: p.String(),
		})
	}
	c.backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: c.status,
	})
	c.server.faults.waitAudible(c.peer, c.closed)
	return c.backend.Flush() == nil
}

func (c *connection) simple(text string) bool {
	parts := split(text)
	if len(parts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, query := range parts {
		r, err := c.execute(query, nil)
		if err != nil {
			c.fail(err)
			break
		}
		c.sendDescription(r.columns, nil)
		c.sendRows(r, nil)
	}
	c.endImplicit()
	return c.ready()
}

// endImplicit ends the transaction that the statements of one message, or up
// to one Sync, share when none was begun.
func (c *connection) endImplicit() {
	failed := c.skipping
	c.skipping = false
	if c.status != 'I' || !c.begun {
		return
	}
	if failed {
		c.rollback()
		return
	}
	if _, err := c.commit(); err != nil {
		c.fail(err)
		c.skipping = false
	}
}

// execute runs one statement within the connection's transaction.
func (c *connection) execute(query string, args []any) (result, error) {
	if r, is := c.server.control(query); is {
		return r, nil
	}
	c.pauseIfSlow()
	switch verb := keyword(query); {
	case verb == "":
		return result{}, nil
	case verb == "COMMIT" || verb == "END":
		return c.commit()
	case verb == "ROLLBACK" || verb == "ABORT":
		return c.rollback(), nil
	case c.status == 'E':
		return result{}, sqlError{
			state:   stateAborted,
			message: "current transaction is aborted, commands ignored until end of transaction block",
		}
	case verb == "BEGIN" || verb == "START":
		return c.begin('T')
	case isRead(query):
		return c.runStatement(query, args)
	default:
		return c.write(query, args)
	}
}

func (c *connection) pauseIfSlow() {
	if slow := c.server.faults.get().SlowMillis; slow > 0 {
		time.Sleep(time.Duration(slow) * time.Millisecond)
	}
}

func (c *connection) fail(err error) {
	e := sqlError{
		state:   stateInternal,
		message: err.Error(),
	}
	_ = errors.As(err, &e)
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                e.state,
		Message:             e.message,
	})
	c.skipping = true
	if c.status == 'I' {
		return
	}
	c.status = 'E'
}

func asSQLError(err error) error {
	message := err.Error()
	state := stateInternal
	switch {
	case strings.Contains(message, "UNIQUE constraint"):
		state = stateUnique
	case strings.Contains(message, "syntax error"), strings.Contains(message, "no such"):
		state = stateSyntax
	case strings.Contains(message, "locked"), strings.Contains(message, "busy"):
		state = stateSerialize
	}
	return sqlError{
		state:   state,
		message: message,
	}
}
