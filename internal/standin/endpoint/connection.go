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

// SQLSTATE codes that the endpoint returns.
const (
	sqlStateReadOnlyTransaction  = "25006"
	sqlStateInFailedTransaction  = "25P02"
	sqlStateTooManyConnections   = "53300"
	sqlStateUniqueViolation      = "23505"
	sqlStateSyntaxError          = "42601"
	sqlStateInvalidStatementName = "26000"
	sqlStateSerializationFailure = "40001"
	sqlStateQueryCanceled        = "57014"
	sqlStateInternalError        = "XX000"
)

// positionParameter is the run-time parameter that reports the log position
// that the preceding response reflects.
const positionParameter = "commit_position"

// sqlError is an error with its SQLSTATE code.
type sqlError struct {
	sqlState string
	message  string
}

// Error implements error.
func (e sqlError) Error() string {
	return e.message
}

// preparedStatement is the result of a Parse message.
type preparedStatement struct {
	query         string
	parameterOIDs []uint32
}

// portal is a prepared statement with bound arguments.
type portal struct {
	query         string
	arguments     []any
	resultFormats []int16
}

// connection is the server side of one client connection.
type connection struct {
	server             *Server
	socket             net.Conn
	backend            *pgproto3.Backend
	processID          uint32
	applicationName    string
	closed             chan struct{}
	closeOnce          sync.Once
	typeMap            *pgtype.Map
	engineConn         *sql.Conn
	preparedStatements map[string]preparedStatement
	portals            map[string]portal
	txStatus           byte
	inTransaction      bool
	changes            []change
	hasCommittedWrite  bool
	reportedPosition   rosemarylb.Position
	skipsUntilSync     bool

	mu            sync.Mutex
	cancelRunning context.CancelFunc
}

// serveConnection handles the messages of a connection until either side closes it.
func (s *Server) serveConnection(socket net.Conn) {
	c := &connection{
		server:             s,
		socket:             socket,
		backend:            pgproto3.NewBackend(socket, socket),
		closed:             make(chan struct{}),
		typeMap:            pgtype.NewMap(),
		preparedStatements: map[string]preparedStatement{},
		portals:            map[string]portal{},
		txStatus:           'I',
	}
	defer c.close()
	if !c.handleStartup() {
		return
	}
	defer s.removeConnection(c)
	defer c.releaseEngineConn()
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		s.faults.waitWhileUnresponsive(c.applicationName, c.closed)
		if !c.handleMessage(message) {
			return
		}
	}
}

// isInternal reports whether the connection belongs to a replica or to the
// proxy's control channel. Such connections do not count toward the connection
// limit and stay open when the endpoint is demoted or rebuilds its data.
func (c *connection) isInternal() bool {
	return strings.Contains(c.applicationName, replicaApplicationName) || strings.Contains(c.applicationName, "control")
}

// close closes the socket and cancels the running statement.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
	})
	c.cancelStatement()
}

// cancelStatement cancels the running statement, if any.
func (c *connection) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRunning != nil {
		c.cancelRunning()
	}
}

// releaseEngineConn rolls back an open transaction and returns the engine
// connection to its pool.
func (c *connection) releaseEngineConn() {
	if c.engineConn == nil {
		return
	}
	if c.inTransaction {
		_, _ = c.engineConn.ExecContext(context.Background(), "ROLLBACK")
	}
	_ = c.engineConn.Close()
}

// handleStartup handles the first message of a connection. It returns false
// when the connection has to be closed: after a cancel request, a rejected
// connection or an I/O error.
func (c *connection) handleStartup() bool {
	message, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := message.(type) {
	case *pgproto3.CancelRequest:
		c.server.cancelStatement(m.ProcessID)
		return false
	case *pgproto3.StartupMessage:
		c.applicationName = m.Parameters["application_name"]
	default:
		return false
	}
	c.server.faults.waitWhileUnresponsive(c.applicationName, c.closed)
	c.server.mu.Lock()
	c.server.lastProcessID++
	c.processID = c.server.lastProcessID
	c.server.mu.Unlock()
	if !c.server.admitConnection(c) {
		c.sendError(sqlError{
			sqlState: sqlStateTooManyConnections,
			message:  "too many connections",
		})
		_ = c.backend.Flush()
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: c.processID,
		SecretKey: []byte{0, 0, 0, 1},
	})
	return c.sendReadyForQuery()
}

// handleMessage handles one message of the client. It returns false when the
// connection has to be closed.
func (c *connection) handleMessage(message pgproto3.FrontendMessage) bool {
	if _, isSync := message.(*pgproto3.Sync); c.skipsUntilSync && !isSync {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		return c.handleQuery(m.String)
	case *pgproto3.Parse:
		c.preparedStatements[m.Name] = preparedStatement{
			query:         m.Query,
			parameterOIDs: append([]uint32(nil), m.ParameterOIDs...),
		}
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.handleBind(m)
	case *pgproto3.Describe:
		c.handleDescribe(m)
	case *pgproto3.Execute:
		c.handleExecute(m.Portal)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.preparedStatements, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.endImplicitTransaction()
		return c.sendReadyForQuery()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

// sendReadyForQuery ends a response and flushes it. It returns false when the
// connection has to be closed, either by an injected fault that drops the
// response or by a write error.
func (c *connection) sendReadyForQuery() bool {
	if c.hasCommittedWrite {
		c.hasCommittedWrite = false
		if c.server.faults.consumeLostResponse() {
			return false
		}
	}
	if p := c.server.log.appliedPosition(); p != c.reportedPosition {
		c.reportedPosition = p
		c.backend.Send(&pgproto3.ParameterStatus{
			Name:  positionParameter,
			Value: p.String(),
		})
	}
	c.backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: c.txStatus,
	})
	c.server.faults.waitWhileUnresponsive(c.applicationName, c.closed)
	return c.backend.Flush() == nil
}

// handleQuery runs the statements of a simple query up to the first error.
func (c *connection) handleQuery(text string) bool {
	queries := splitStatements(text)
	if len(queries) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, query := range queries {
		r, err := c.executeStatement(query, nil)
		if err != nil {
			c.sendError(err)
			break
		}
		c.sendRowDescription(r.columns, nil)
		c.sendResult(r, nil)
	}
	c.endImplicitTransaction()
	return c.sendReadyForQuery()
}

// endImplicitTransaction ends the implicit transaction that the statements of
// one simple query, or of the messages up to a Sync, share outside a
// transaction block. It commits, or rolls back after an error.
func (c *connection) endImplicitTransaction() {
	hasFailed := c.skipsUntilSync
	c.skipsUntilSync = false
	if c.txStatus != 'I' || !c.inTransaction {
		return
	}
	if hasFailed {
		c.rollback()
		return
	}
	if _, err := c.commit(); err != nil {
		c.sendError(err)
		c.skipsUntilSync = false
	}
}

// executeStatement runs one statement in the transaction of the connection.
func (c *connection) executeStatement(query string, args []any) (result, error) {
	if r, ok := c.server.callControlFunction(query); ok {
		return r, nil
	}
	c.delayStatement()
	switch verb := firstKeyword(query); {
	case verb == "":
		return result{}, nil
	case verb == "COMMIT" || verb == "END":
		return c.commit()
	case verb == "ROLLBACK" || verb == "ABORT":
		return c.rollback(), nil
	case c.txStatus == 'E':
		return result{}, sqlError{
			sqlState: sqlStateInFailedTransaction,
			message:  "current transaction is aborted, commands ignored until end of transaction block",
		}
	case verb == "BEGIN" || verb == "START":
		return c.beginTransaction('T')
	case isReadOnly(query):
		return c.runStatement(query, args)
	default:
		return c.executeWrite(query, args)
	}
}

// delayStatement applies the configured delay of each statement.
func (c *connection) delayStatement() {
	if delay := c.server.faults.get().StatementDelayMillis; delay > 0 {
		time.Sleep(time.Duration(delay) * time.Millisecond)
	}
}

// sendError sends an ErrorResponse. It aborts the open transaction and discards
// further messages up to the next Sync.
func (c *connection) sendError(err error) {
	response := sqlError{
		sqlState: sqlStateInternalError,
		message:  err.Error(),
	}
	_ = errors.As(err, &response)
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                response.sqlState,
		Message:             response.message,
	})
	c.skipsUntilSync = true
	if c.txStatus == 'I' {
		return
	}
	c.txStatus = 'E'
}

// asSQLError maps an error of SQLite to the SQLSTATE that PostgreSQL uses.
func asSQLError(err error) error {
	message := err.Error()
	state := sqlStateInternalError
	switch {
	case strings.Contains(message, "UNIQUE constraint"):
		state = sqlStateUniqueViolation
	case strings.Contains(message, "syntax error"), strings.Contains(message, "no such"):
		state = sqlStateSyntaxError
	case strings.Contains(message, "locked"), strings.Contains(message, "busy"):
		state = sqlStateSerializationFailure
	}
	return sqlError{
		sqlState: state,
		message:  message,
	}
}
