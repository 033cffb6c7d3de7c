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
	// dialTimeout bounds the opening of a socket.
	dialTimeout = time.Second
	// dialerCount is how many sockets are opened at the same time.
	dialerCount = 4
	// dialCapacity is how many openings may wait for one dialer.
	dialCapacity = 1024
)

// Loops are the event loops that read the sockets toward endpoints, and the
// threads that open them.
type Loops struct {
	client  *gnet.Client
	dialers []*duty.Ring[dialRequest]
	duties  []*duty.Duty
}

type dialRequest struct {
	connection *Connection
	address    string
	cancel     []byte
}

// NewLoops starts a number of event loops. The returned function stops them
// and breaks their connections.
func NewLoops(count int) (*Loops, func(), error) {
	client, err := gnet.NewClient(&handler{},
		gnet.WithNumEventLoop(count),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(duty.Quiet{}))
	if err != nil {
		return nil, nil, errors.Wrap(err, "event loops toward endpoints")
	}
	if err := client.Start(); err != nil {
		return nil, nil, errors.Wrap(err, "event loops toward endpoints")
	}
	l := &Loops{
		client: client,
	}
	var stops []func()
	for range dialerCount {
		ring := duty.NewRing[dialRequest]("dial", dialCapacity)
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

// Duties returns the dialers for a dump.
func (l *Loops) Duties() []*duty.Duty {
	return l.duties
}

// Open starts to open a connection and never waits. What comes of it is told
// to the sink.
func (l *Loops) Open(spec rosemarylb.EndpointSpec, name string, sink Sink) *Connection {
	id := connectionCount.Add(1)
	c := &Connection{
		ID:       id,
		Endpoint: spec.ID,
		sink:     sink,
		address:  spec.Address,
		hello:    startup(string(spec.Database), name),
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

// Cancel asks the endpoint to cancel what a connection is doing.
func (l *Loops) Cancel(c *Connection) {
	l.dialers[c.ID%dialerCount].Offer(dialRequest{
		address: c.address,
		cancel:  cancellation(c.process, c.secret),
	})
}

// dialer opens sockets, one at a time.
type dialer struct {
	duty.Passive

	loops *Loops
}

// Handle implements duty.Handler; a dialer's thread waits for the socket.
func (d dialer) Handle(_ time.Time, r dialRequest) {
	socket, err := net.DialTimeout("tcp", r.address, dialTimeout)
	if err != nil {
		if r.connection != nil {
			r.connection.sink.Closed(r.connection, "")
		}
		return
	}
	if r.connection == nil {
		_ = socket.SetDeadline(time.Now().Add(dialTimeout))
		_, _ = socket.Write(r.cancel)
		_ = socket.Close()
		return
	}
	if _, err := d.loops.client.EnrollContext(socket, r.connection); err != nil {
		r.connection.sink.Closed(r.connection, "")
	}
}

// handler passes the events of the loops to the connections.
type handler struct {
	gnet.BuiltinEventEngine
}

// OnOpen implements gnet.EventHandler.
func (handler) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	c, isConnection := socket.Context().(*Connection)
	if !isConnection || !c.bind(socket) {
		return nil, gnet.Close
	}
	return c.hello, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (handler) OnTraffic(socket gnet.Conn) gnet.Action {
	c, isConnection := socket.Context().(*Connection)
	if !isConnection {
		return gnet.Close
	}
	return c.read(socket)
}

// OnClose implements gnet.EventHandler.
func (handler) OnClose(socket gnet.Conn, _ error) gnet.Action {
	if c, isConnection := socket.Context().(*Connection); isConnection {
		c.sink.Closed(c, c.sqlState)
	}
	return gnet.None
}
