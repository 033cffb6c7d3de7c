package instance

import (
	"context"
	"time"

	"rosemarylb"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/proxy"
	"rosemarylb/internal/traffic/quota"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
)

// maxDeputyConnections is the number of connections to deputies above which all of them
// are closed. They are used only while the keeper does not answer.
const maxDeputyConnections = 16

var (
	deputyRequestsTotal   = metrics.NewCounter(`rosemarylb_quota_deputy_requests_total`)
	deputyUnansweredTotal = metrics.NewCounter(`rosemarylb_quota_deputy_requests_unanswered_total`)
)

// DeputyRequester is the duty that sends the proxy's requests for tokens to the deputies
// of teams, one at a time, and returns the replies.
type DeputyRequester struct {
	duty.HandlerDefaults

	clock     rosemarylb.Clock
	requests  *duty.Ring[proxy.DeputyRequest]
	proxyRing *duty.Ring[proxy.Event]
	conns     map[string]*grpc.ClientConn
}

// NewDeputyRequester returns a duty that is not yet started.
func NewDeputyRequester(clock rosemarylb.Clock, p *proxy.Proxy) *DeputyRequester {
	return &DeputyRequester{
		clock:     clock,
		requests:  p.DeputyRequests(),
		proxyRing: p.Ring(),
		conns:     map[string]*grpc.ClientConn{},
	}
}

// Start runs the duty. The returned function stops it.
func (d *DeputyRequester) Start() (*duty.Duty, func()) {
	started, stop := duty.StartWithClock[proxy.DeputyRequest](d.clock, "quota-deputies", d, d.requests)
	return started, func() {
		stop()
		d.closeConnections()
	}
}

// Handle implements duty.Handler. It blocks until the deputy has replied, for at most
// quota.RequestTimeout.
func (d *DeputyRequester) Handle(_ time.Time, request proxy.DeputyRequest) {
	deputyRequestsTotal.Inc()
	reply := d.reserve(request)
	if !reply.Answered {
		deputyUnansweredTotal.Inc()
	}
	d.proxyRing.Put(proxy.DeputyReplied{
		Request: request,
		Reply:   reply,
	})
}

// reserve sends a request. It returns the zero reply if the deputy does not answer.
func (d *DeputyRequester) reserve(request proxy.DeputyRequest) quota.Reply {
	conn, found := d.conns[request.Address]
	if !found {
		if len(d.conns) >= maxDeputyConnections {
			d.closeConnections()
		}
		var err error
		if conn, err = dialKeeper(request.Address); err != nil {
			return quota.Reply{}
		}
		d.conns[request.Address] = conn
	}
	ctx, cancel := context.WithTimeout(context.Background(), quota.RequestTimeout)
	defer cancel()
	reply, err := link.NewKeeperClient(conn).ReserveFromDeputy(ctx, encodeReserveRequest(quota.Request{
		Demands: request.Demands,
	}))
	if err != nil {
		return quota.Reply{}
	}
	return decodeReserveReply(reply)
}

func (d *DeputyRequester) closeConnections() {
	for address, conn := range d.conns {
		_ = conn.Close()
		delete(d.conns, address)
	}
}
