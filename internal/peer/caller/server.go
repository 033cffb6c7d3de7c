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
	// lengthSize is the size of a start-up message's length, in bytes.
	lengthSize = 4
	// startupLimit is the size of the largest start-up message, in bytes.
	startupLimit = 10000
	// Codes that stand in place of a protocol version.
	codeCancel = 80877102
	codeTLS    = 80877103
	codeGSS    = 80877104
	// listenTimeout bounds the start of the event loops.
	listenTimeout = 5 * time.Second
	listenPoll    = time.Millisecond
)

// socket is a caller's connection as its event loop sees it. Its decoder is
// not touched elsewhere.
type socket struct {
	conn    gnet.Conn
	started bool
	decoder *decoder
}

// Server runs the event loops that read the callers' sockets.
type Server struct {
	gnet.BuiltinEventEngine

	engine  gnet.Engine
	booted  atomic.Bool
	accepts atomic.Bool
	edge    *duty.Ring[Event]
	open    atomic.Int64
}

// Listen starts event loops on an address such as 127.0.0.1:6432, which feed
// an edge. The returned function stops them and breaks the connections.
func Listen(address string, loops int, e *Edge) (*Server, func(), error) {
	s := &Server{
		edge: e.Ring(),
	}
	s.accepts.Store(true)
	failed := make(chan error, 1)
	wait := duty.Spawn(func() {
		failed <- gnet.Run(s, "tcp://"+address,
			gnet.WithNumEventLoop(loops),
			gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(duty.Quiet{}))
	})
	deadline := time.Now().Add(listenTimeout)
	for !s.booted.Load() {
		select {
		case err := <-failed:
			return nil, nil, errors.Wrapf(err, "listen on %s", address)
		case <-time.After(listenPoll):
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

// OpenConnections returns how many callers are connected.
func (s *Server) OpenConnections() int64 {
	return s.open.Load()
}

// Refuse makes the server turn new callers away.
func (s *Server) Refuse() {
	s.accepts.Store(false)
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	s.booted.Store(true)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !s.accepts.Load() {
		return nil, gnet.Close
	}
	s.open.Add(1)
	c.SetContext(&socket{
		conn: c,
	})
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	k, isSocket := c.Context().(*socket)
	if !isSocket {
		return gnet.None
	}
	s.open.Add(-1)
	if k.started {
		s.edge.Put(gone{
			socket: k,
		})
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	k, isSocket := c.Context().(*socket)
	if !isSocket {
		return gnet.Close
	}
	for {
		buffer, err := c.Peek(c.InboundBuffered())
		if err != nil {
			return gnet.Close
		}
		taken, action := s.take(k, buffer)
		if taken == 0 || action != gnet.None {
			return action
		}
		_, _ = c.Discard(taken)
	}
}

// take handles the first message of a buffer and returns its size, 0 when it
// is not whole.
func (s *Server) take(k *socket, buffer []byte) (int, gnet.Action) {
	if !k.started {
		return s.takeStartup(k, buffer)
	}
	m, err := frame(buffer)
	if err != nil {
		return 0, k.fatal(err)
	}
	if m == nil {
		return 0, gnet.None
	}
	c, complete, err := k.decoder.take(m)
	if err != nil {
		return 0, k.fatal(err)
	}
	if complete && c.kind == kindBye {
		return len(m), gnet.Close
	}
	if complete {
		s.edge.Put(asked{
			socket:  k,
			command: c,
		})
	}
	return len(m), gnet.None
}

// fatal tells the caller why its connection ends.
func (k *socket) fatal(err error) gnet.Action {
	state := stateProtocol
	if errors.Is(err, errTooLarge) {
		state = stateTooLarge
	}
	_, _ = k.conn.Write(encode(errorResponse(state, err.Error())))
	return gnet.Close
}

func (s *Server) takeStartup(k *socket, buffer []byte) (int, gnet.Action) {
	if len(buffer) < lengthSize*2 {
		return 0, gnet.None
	}
	length := int(binary.BigEndian.Uint32(buffer))
	if length < lengthSize*2 || length > startupLimit {
		return 0, k.fatal(errors.Wrap(errMalformed, "start-up"))
	}
	if len(buffer) < length {
		return 0, gnet.None
	}
	body := buffer[lengthSize:length]
	switch binary.BigEndian.Uint32(body) {
	case codeTLS, codeGSS:
		_, _ = k.conn.Write([]byte{'N'})
		return length, gnet.None
	case codeCancel:
		s.takeCancel(body)
		return length, gnet.Close
	default:
		return length, s.takeLogin(k, body)
	}
}

func (s *Server) takeCancel(body []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(body) != nil {
		return
	}
	s.edge.Offer(CancelAsked{
		Process: m.ProcessID,
		Secret:  secretNumber(m.SecretKey),
	})
}

func (s *Server) takeLogin(k *socket, body []byte) gnet.Action {
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return k.fatal(errors.Wrap(errMalformed, "start-up"))
	}
	k.started = true
	k.decoder = newDecoder()
	s.edge.Put(joined{
		socket:   k,
		user:     m.Parameters["user"],
		database: m.Parameters["database"],
		floor:    floorOption(m.Parameters),
	})
	return gnet.None
}

// floorOption finds the floor in the start-up parameters: as a parameter of
// its own, or within the options.
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
