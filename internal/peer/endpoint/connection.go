package endpoint

import (
	"sync"
	"sync/atomic"

	"rosemarylb"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
)

// ConnectionHandler receives the events of a connection. Its methods run on an event
// loop or a dialer's thread, and may block on a ring only if the duty of that ring
// never waits for the event loops.
type ConnectionHandler interface {
	// Opened reports that the connection has completed its start-up.
	Opened(c *Connection)
	// Responded reports the complete response to a request.
	Responded(c *Connection, r Response)
	// Closed reports that the connection was closed or could not be opened. sqlState
	// is the code of the first error since the last complete response, empty if none.
	Closed(c *Connection, sqlState string)
}

// Response is the complete response of an endpoint to a request.
type Response struct {
	// Payload is the messages of the response, as they are sent to the caller.
	Payload []byte
	// Status is the transaction status: I for idle, T for an open transaction, E for
	// a failed one.
	Status byte
	// SQLState is the code of the first error in the response, empty if none.
	SQLState string
	// Position is the last commit position that the endpoint has reported on the
	// connection.
	Position rosemarylb.Position
	// TooLarge is true when the response exceeded maxResponseBytes, so that the
	// payload is incomplete.
	TooLarge bool
}

// maxResponseBytes is the size of the largest response that is buffered.
const maxResponseBytes = 16 << 20

var (
	lastConnectionID atomic.Uint64
	sentBytes        = metrics.NewCounter(`rosemarylb_endpoint_sent_bytes_total`)
	receivedBytes    = metrics.NewCounter(`rosemarylb_endpoint_received_bytes_total`)
)

// Connection is one connection to an endpoint. Send and Close may be called from any
// thread.
type Connection struct {
	// ID is the number of the connection, unique within the process.
	ID uint64
	// Endpoint is the endpoint that it is connected to.
	Endpoint rosemarylb.EndpointID

	handler        ConnectionHandler
	address        string
	startupMessage []byte

	mu     sync.Mutex
	socket gnet.Conn
	closed bool

	// The event loop owns the fields below.
	ready     bool
	response  []byte
	tooLarge  bool
	sqlState  string
	position  rosemarylb.Position
	processID uint32
	secretKey []byte
}

// Send writes a request without blocking; the handler receives the response.
func (c *Connection) Send(payload []byte) {
	c.mu.Lock()
	socket := c.socket
	c.mu.Unlock()
	if socket != nil {
		sentBytes.Add(len(payload))
		_ = socket.AsyncWrite(payload, nil)
	}
}

// Close closes the connection, even while it is opening.
func (c *Connection) Close() {
	c.mu.Lock()
	socket := c.socket
	c.closed = true
	c.mu.Unlock()
	if socket != nil {
		_ = socket.Close()
	}
}

// attachSocket sets the socket of the connection. It returns false if the connection
// was closed before.
func (c *Connection) attachSocket(socket gnet.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.socket = socket
	return true
}

// read handles the complete messages in the socket's buffer and discards them.
func (c *Connection) read(socket gnet.Conn) gnet.Action {
	buffer, err := socket.Peek(socket.InboundBuffered())
	if err != nil {
		return gnet.Close
	}
	consumed := 0
	for {
		m, err := nextMessage(buffer[consumed:])
		if err != nil {
			return gnet.Close
		}
		if m == nil {
			break
		}
		consumed += len(m)
		if !c.handleMessage(m) {
			return gnet.Close
		}
	}
	receivedBytes.Add(consumed)
	_, _ = socket.Discard(consumed)
	return gnet.None
}

// handleMessage handles one message. It returns false when the connection has to be
// closed: on a malformed message, a request for a password, and a COPY from the
// client, which the proxy does not support.
func (c *Connection) handleMessage(m []byte) bool {
	switch m[0] {
	case typeAuthentication:
		return len(m) == headerBytes+4 && m[headerBytes+3] == 0
	case typeBackendKey:
		return c.handleBackendKey(m[headerBytes:])
	case typeParameterStatus:
		return c.handleParameterStatus(m[headerBytes:])
	case typeCopyIn:
		return false
	case typeReady:
		c.appendResponse(m)
		c.completeResponse(m[len(m)-1])
		return true
	case typeError:
		c.handleError(m[headerBytes:])
	}
	c.appendResponse(m)
	return true
}

func (c *Connection) handleBackendKey(body []byte) bool {
	var key pgproto3.BackendKeyData
	if key.Decode(body) != nil {
		return false
	}
	c.processID = key.ProcessID
	c.secretKey = append([]byte(nil), key.SecretKey...)
	return true
}

func (c *Connection) handleParameterStatus(body []byte) bool {
	var parameter pgproto3.ParameterStatus
	if parameter.Decode(body) != nil {
		return false
	}
	if parameter.Name != positionParameter {
		return true
	}
	p, err := rosemarylb.ParsePosition(parameter.Value)
	if err != nil {
		return false
	}
	c.position = p
	return true
}

func (c *Connection) handleError(body []byte) {
	var e pgproto3.ErrorResponse
	if e.Decode(body) == nil && c.sqlState == "" {
		c.sqlState = e.Code
	}
}

// appendResponse appends a message to the response, up to maxResponseBytes.
func (c *Connection) appendResponse(m []byte) {
	if len(c.response)+len(m) > maxResponseBytes {
		c.tooLarge = true
		return
	}
	c.response = append(c.response, m...)
}

func (c *Connection) completeResponse(status byte) {
	r := Response{
		Payload:  c.response,
		Status:   status,
		SQLState: c.sqlState,
		Position: c.position,
		TooLarge: c.tooLarge,
	}
	c.response = nil
	c.sqlState = ""
	c.tooLarge = false
	if !c.ready {
		c.ready = true
		c.handler.Opened(c)
		return
	}
	c.handler.Responded(c, r)
}
