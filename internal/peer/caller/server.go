package caller

import (
	"encoding/binary"
	"strings"
	"sync/atomic"

	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/stream"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// startupLengthBytes is the size of the length field that starts a start-up
	// message, in bytes.
	startupLengthBytes = 4
	// maxStartupBytes bounds a start-up message, in bytes.
	maxStartupBytes = 10000
	// Request codes that a start-up message carries instead of a protocol
	// version.
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	// keptBufferBytes is the size up to which the buffer of a socket is kept for the
	// next message.
	keptBufferBytes = 16 << 10
)

// socket is the connection of a caller. Only its event loop uses started, buffer and
// decoder.
type socket struct {
	conn    *stream.Conn
	started bool
	// buffer is the beginning of a message whose end has not arrived.
	buffer  []byte
	decoder *decoder
}

// Server accepts the callers' connections and runs the event loops that decode
// their messages. It implements stream.Handler.
type Server struct {
	accepting   atomic.Bool
	events      *duty.Ring[Event]
	connections atomic.Int64
}

// Listen starts event loops on an address such as 127.0.0.1:6432 and sends their
// events to sessions. It accepts the connections that the pool allows; what is held
// for them counts in the budget. The returned function stops the loops and closes the
// connections.
func Listen(address string, loops int, sessions *SessionManager, p *budget.Pool, b *budget.Budget) (*Server, func(), error) {
	s := &Server{
		events: sessions.Ring(),
	}
	s.accepting.Store(true)
	stop, err := stream.Listen(address, budget.ServerCallers, loops, p, b, s)
	if err != nil {
		return nil, nil, err
	}
	return s, stop, nil
}

// OpenConnections returns the number of open connections of callers.
func (s *Server) OpenConnections() int64 {
	return s.connections.Load()
}

// StopAccepting makes the server close new connections at once.
func (s *Server) StopAccepting() {
	s.accepting.Store(false)
}

// Open implements stream.Handler.
func (s *Server) Open(c *stream.Conn) {
	if !s.accepting.Load() {
		c.Close()
		return
	}
	s.connections.Add(1)
	c.Session = &socket{
		conn: c,
	}
}

// Closed implements stream.Handler.
func (s *Server) Closed(c *stream.Conn) {
	sock, isSocket := c.Session.(*socket)
	if !isSocket {
		return
	}
	s.connections.Add(-1)
	if sock.started {
		s.events.Put(sessionClosed{
			socket: sock,
		})
	}
}

// Receive implements stream.Handler.
func (s *Server) Receive(c *stream.Conn, data []byte) bool {
	sock, isSocket := c.Session.(*socket)
	if !isSocket {
		return false
	}
	input := data
	if len(sock.buffer) > 0 {
		sock.append(data)
		input = sock.buffer
	}
	rest := input
	for {
		size, open := s.handleMessage(sock, rest)
		if !open {
			return false
		}
		if size == 0 {
			break
		}
		rest = rest[size:]
	}
	sock.keep(rest, len(rest) == len(input))
	return c.Account().Set(budget.KindInput, sock.heldBytes())
}

// append adds input to the buffer, and doubles the buffer if it is full.
func (s *socket) append(data []byte) {
	if needed := len(s.buffer) + len(data); needed > cap(s.buffer) {
		grown := make([]byte, len(s.buffer), max(needed, 2*cap(s.buffer)))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	s.buffer = append(s.buffer, data...)
}

// keep keeps the beginning of a message for the next input. Unused is true if the
// input completed no message.
func (s *socket) keep(rest []byte, unused bool) {
	if unused && len(s.buffer) > 0 {
		return
	}
	if cap(s.buffer) > keptBufferBytes {
		s.buffer = nil
	}
	s.buffer = append(s.buffer[:0], rest...)
}

// heldBytes returns the number of bytes held for input that is not a command yet.
func (s *socket) heldBytes() int64 {
	held := int64(cap(s.buffer))
	if s.decoder != nil {
		held += int64(cap(s.decoder.payload))
	}
	return held
}

// handleMessage handles the first message of a buffer and returns its size in
// bytes, 0 while it is incomplete, and false if the connection must be closed.
func (s *Server) handleMessage(sock *socket, buffer []byte) (int, bool) {
	if !sock.started {
		return s.handleStartup(sock, buffer)
	}
	m, err := nextMessage(buffer)
	if err != nil {
		return 0, sock.closeWithError(err)
	}
	if m == nil {
		return 0, true
	}
	c, complete, err := sock.decoder.decode(m)
	if err != nil {
		return 0, sock.closeWithError(err)
	}
	if !sock.conn.Account().Set(budget.KindState, sock.decoder.stateBytes) || complete && c.kind == kindTerminate {
		return len(m), false
	}
	if complete {
		sock.conn.Used()
		c.bytes = c.size()
		if !sock.conn.Account().Add(budget.KindQueries, c.bytes) {
			return len(m), false
		}
		s.events.Put(requestReceived{
			socket:  sock,
			command: c,
		})
	}
	return len(m), true
}

// closeWithError sends the caller an error. It returns false, as the connection must be
// closed.
func (s *socket) closeWithError(err error) bool {
	sqlState := sqlStateProtocolViolation
	if errors.Is(err, errTooLarge) {
		sqlState = sqlStateProgramLimitExceeded
	}
	s.conn.WriteInLoop(encode(errorResponse(sqlState, err.Error())))
	return false
}

// handleStartup handles a message before the session has started. It returns the
// message's size in bytes, 0 while it is incomplete, and false if the connection must
// be closed.
func (s *Server) handleStartup(sock *socket, buffer []byte) (int, bool) {
	if len(buffer) < startupLengthBytes*2 {
		return 0, true
	}
	length := int(binary.BigEndian.Uint32(buffer))
	if length < startupLengthBytes*2 || length > maxStartupBytes {
		return 0, sock.closeWithError(errors.Wrap(errMalformed, "start-up"))
	}
	if len(buffer) < length {
		return 0, true
	}
	body := buffer[startupLengthBytes:length]
	switch binary.BigEndian.Uint32(body) {
	case sslRequestCode, gssEncRequestCode:
		sock.conn.WriteInLoop([]byte{'N'})
		return length, true
	case cancelRequestCode:
		s.handleCancelRequest(body)
		return length, false
	default:
		return length, s.handleLogin(sock, body)
	}
}

func (s *Server) handleCancelRequest(body []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(body) != nil {
		return
	}
	s.events.Offer(CancelRequested{
		Process: m.ProcessID,
		Secret:  decodeSecret(m.SecretKey),
	})
}

func (s *Server) handleLogin(sock *socket, body []byte) bool {
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return sock.closeWithError(errors.Wrap(errMalformed, "start-up"))
	}
	sock.started = true
	sock.conn.Greeted()
	sock.decoder = newDecoder()
	s.events.Put(sessionOpened{
		socket:   sock,
		user:     m.Parameters["user"],
		database: m.Parameters["database"],
		floor:    floorOption(m.Parameters),
	})
	return true
}

// floorOption returns the floor that the start-up parameters set, as a parameter
// of its own or within "options", or an empty string.
func floorOption(parameters map[string]string) string {
	if floor, found := parameters[floorParameter]; found {
		return floor
	}
	_, rest, found := strings.Cut(parameters["options"], floorParameter+"=")
	if !found {
		return ""
	}
	floor, _, _ := strings.Cut(rest, " ")
	return floor
}
