package caller

import (
	"encoding/binary"
	"strings"
	"sync/atomic"
	"time"

	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
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
	// listenTimeout bounds the start of the event loops.
	listenTimeout = 5 * time.Second
	// listenPollInterval is the time between checks whether they have started.
	listenPollInterval = time.Millisecond
)

// socket is the connection of a caller. Only its event loop uses started and
// decoder.
type socket struct {
	conn    gnet.Conn
	started bool
	decoder *decoder
}

// Server accepts the callers' connections and runs the event loops that decode
// their messages.
type Server struct {
	gnet.BuiltinEventEngine

	engine      gnet.Engine
	booted      atomic.Bool
	accepting   atomic.Bool
	events      *duty.Ring[Event]
	connections atomic.Int64
}

// Listen starts event loops on an address such as 127.0.0.1:6432 and sends their
// events to sessions. The returned function stops them and closes the
// connections.
func Listen(address string, loops int, sessions *SessionManager) (*Server, func(), error) {
	s := &Server{
		events: sessions.Ring(),
	}
	s.accepting.Store(true)
	failed := make(chan error, 1)
	wait := duty.Spawn(func() {
		failed <- gnet.Run(s, "tcp://"+address,
			gnet.WithNumEventLoop(loops),
			gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(duty.DiscardLogger{}))
	})
	deadline := time.Now().Add(listenTimeout)
	for !s.booted.Load() {
		select {
		case err := <-failed:
			return nil, nil, errors.Wrapf(err, "listen on %s", address)
		case <-time.After(listenPollInterval):
		}
		if time.Now().After(deadline) {
			return nil, nil, errors.Newf("listen on %s: no answer of the event loops", address)
		}
	}
	return s, func() {
		stopEngine(s.engine)
		wait()
	}, nil
}

// OpenConnections returns the number of open connections of callers.
func (s *Server) OpenConnections() int64 {
	return s.connections.Load()
}

// StopAccepting makes the server close new connections at once.
func (s *Server) StopAccepting() {
	s.accepting.Store(false)
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	s.booted.Store(true)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !s.accepting.Load() {
		return nil, gnet.Close
	}
	s.connections.Add(1)
	c.SetContext(&socket{
		conn: c,
	})
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	sock, isSocket := c.Context().(*socket)
	if !isSocket {
		return gnet.None
	}
	s.connections.Add(-1)
	if sock.started {
		s.events.Put(sessionClosed{
			socket: sock,
		})
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	sock, isSocket := c.Context().(*socket)
	if !isSocket {
		return gnet.Close
	}
	for {
		buffer, err := c.Peek(c.InboundBuffered())
		if err != nil {
			return gnet.Close
		}
		size, action := s.handleMessage(sock, buffer)
		if size == 0 || action != gnet.None {
			return action
		}
		_, _ = c.Discard(size)
	}
}

// handleMessage handles the first message of a buffer and returns its size in
// bytes, 0 while it is incomplete.
func (s *Server) handleMessage(sock *socket, buffer []byte) (int, gnet.Action) {
	if !sock.started {
		return s.handleStartup(sock, buffer)
	}
	m, err := nextMessage(buffer)
	if err != nil {
		return 0, sock.closeWithError(err)
	}
	if m == nil {
		return 0, gnet.None
	}
	c, complete, err := sock.decoder.decode(m)
	if err != nil {
		return 0, sock.closeWithError(err)
	}
	if complete && c.kind == kindTerminate {
		return len(m), gnet.Close
	}
	if complete {
		s.events.Put(requestReceived{
			socket:  sock,
			command: c,
		})
	}
	return len(m), gnet.None
}

// closeWithError sends the caller an error and closes its connection.
func (s *socket) closeWithError(err error) gnet.Action {
	sqlState := sqlStateProtocolViolation
	if errors.Is(err, errTooLarge) {
		sqlState = sqlStateProgramLimitExceeded
	}
	_, _ = s.conn.Write(encode(errorResponse(sqlState, err.Error())))
	return gnet.Close
}

// handleStartup handles a message before the session has started. It returns the
// message's size in bytes, 0 while it is incomplete.
func (s *Server) handleStartup(sock *socket, buffer []byte) (int, gnet.Action) {
	if len(buffer) < startupLengthBytes*2 {
		return 0, gnet.None
	}
	length := int(binary.BigEndian.Uint32(buffer))
	if length < startupLengthBytes*2 || length > maxStartupBytes {
		return 0, sock.closeWithError(errors.Wrap(errMalformed, "start-up"))
	}
	if len(buffer) < length {
		return 0, gnet.None
	}
	body := buffer[startupLengthBytes:length]
	switch binary.BigEndian.Uint32(body) {
	case sslRequestCode, gssEncRequestCode:
		_, _ = sock.conn.Write([]byte{'N'})
		return length, gnet.None
	case cancelRequestCode:
		s.handleCancelRequest(body)
		return length, gnet.Close
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

func (s *Server) handleLogin(sock *socket, body []byte) gnet.Action {
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return sock.closeWithError(errors.Wrap(errMalformed, "start-up"))
	}
	sock.started = true
	sock.decoder = newDecoder()
	s.events.Put(sessionOpened{
		socket:   sock,
		user:     m.Parameters["user"],
		database: m.Parameters["database"],
		floor:    floorOption(m.Parameters),
	})
	return gnet.None
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
