package endpoint

import (
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
)

const (
	// dialTimeout bounds the opening of a socket, and the sending of a cancel request.
	dialTimeout = time.Second
	// dialerCount is the number of sockets that are opened concurrently.
	dialerCount = 4
	// dialerRingCapacity is the number of requests that one dialer's ring holds.
	dialerRingCapacity = 1024
)

// EventLoops are the event loops that read the connections to endpoints, and the
// dialers that open them.
type EventLoops struct {
	client  *gnet.Client
	dialers []*duty.Ring[dialRequest]
	duties  []*duty.Duty
}

// dialRequest opens a connection or, if connection is nil, sends a cancel message on
// a connection of its own.
type dialRequest struct {
	connection    *Connection
	address       string
	cancelMessage []byte
}

// NewEventLoops starts the dialers and a number of event loops. The returned function
// stops them and closes their connections.
func NewEventLoops(count int) (*EventLoops, func(), error) {
	client, err := gnet.NewClient(&eventHandler{},
		gnet.WithNumEventLoop(count),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(duty.DiscardLogger{}))
	if err != nil {
		return nil, nil, errors.Wrap(err, "event loops toward endpoints")
	}
	if err := client.Start(); err != nil {
		return nil, nil, errors.Wrap(err, "event loops toward endpoints")
	}
	l := &EventLoops{
		client: client,
	}
	var stops []func()
	for range dialerCount {
		ring := duty.NewRing[dialRequest]("dial", dialerRingCapacity)
		d, stop := duty.Start("dialer", dialer{
			loops: l,
		}, ring)
		l.dialers = append(l.dialers, ring)
		l.duties = append(l.duties, d)
		stops = append(stops, stop)
	}
	return l, func() {
		for _, stop := range stops {
			stop()
		}
		_ = client.Stop()
	}, nil
}

// Duties returns the dialer duties for a dump.
func (l *EventLoops) Duties() []*duty.Duty {
	return l.duties
}

// Open starts to open a connection to an endpoint under an application name, without
// blocking. The handler receives the events of the connection. It returns nil when
// the dialer's ring is full.
func (l *EventLoops) Open(spec rosemarylb.EndpointSpec, name string, handler ConnectionHandler) *Connection {
	id := lastConnectionID.Add(1)
	c := &Connection{
		ID:             id,
		Endpoint:       spec.ID,
		handler:        handler,
		address:        spec.Address,
		startupMessage: encodeStartup(string(spec.Database), name),
	}
	ring := l.dialers[id%dialerCount]
	if !ring.Offer(dialRequest{
		connection: c,
		address:    spec.Address,
	}) {
		c.Close()
		return nil
	}
	return c
}

// Cancel sends the endpoint a cancel request for the query running on a connection.
// It is dropped when the dialer's ring is full.
func (l *EventLoops) Cancel(c *Connection) {
	l.dialers[c.ID%dialerCount].Offer(dialRequest{
		address:       c.address,
		cancelMessage: encodeCancel(c.processID, c.secretKey),
	})
}

// dialer is the handler of one dialer duty. It opens sockets one at a time.
type dialer struct {
	duty.HandlerDefaults

	loops *EventLoops
}

// Handle implements duty.Handler. It blocks while the socket is opened.
func (d dialer) Handle(_ time.Time, r dialRequest) {
	socket, err := net.DialTimeout("tcp", r.address, dialTimeout)
	if err != nil {
		if r.connection != nil {
			r.connection.handler.Closed(r.connection, "")
		}
		return
	}
	if r.connection == nil {
		_ = socket.SetDeadline(time.Now().Add(dialTimeout))
		_, _ = socket.Write(r.cancelMessage)
		_ = socket.Close()
		return
	}
	if _, err := d.loops.client.EnrollContext(socket, r.connection); err != nil {
		r.connection.handler.Closed(r.connection, "")
	}
}

// eventHandler passes the events of the event loops to the connections.
type eventHandler struct {
	gnet.BuiltinEventEngine
}

// OnOpen implements gnet.EventHandler.
func (eventHandler) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	c, isConnection := socket.Context().(*Connection)
	if !isConnection || !c.attachSocket(socket) {
		return nil, gnet.Close
	}
	return c.startupMessage, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (eventHandler) OnTraffic(socket gnet.Conn) gnet.Action {
	c, isConnection := socket.Context().(*Connection)
	if !isConnection {
		return gnet.Close
	}
	return c.read(socket)
}

// OnClose implements gnet.EventHandler.
func (eventHandler) OnClose(socket gnet.Conn, _ error) gnet.Action {
	if c, isConnection := socket.Context().(*Connection); isConnection {
		c.handler.Closed(c, c.sqlState)
	}
	return gnet.None
}
