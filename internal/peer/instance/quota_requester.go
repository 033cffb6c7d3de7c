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

// keeperCheckInterval is the time between two checks whether the lease holder has
// changed.
const keeperCheckInterval = 50 * time.Millisecond

var (
	reserveRequestsTotal   = metrics.NewCounter(`rosemarylb_quota_requests_total`)
	reserveUnansweredTotal = metrics.NewCounter(`rosemarylb_quota_requests_unanswered_total`)
)

// QuotaRequester is the duty that sends the proxy's requests for tokens to the keeper,
// one at a time, and returns the replies.
type QuotaRequester struct {
	clock               rosemarylb.Clock
	requests            *duty.Ring[quota.Request]
	proxyRing           *duty.Ring[proxy.Event]
	keeper              *duty.Latest[KeeperAddress]
	address             string
	token               uint64
	conn                *grpc.ClientConn
	consecutiveFailures int
	nextCheckAt         time.Time
}

// NewQuotaRequester returns a duty that is not yet started. It asks the lease holder
// that is stored in keeper.
func NewQuotaRequester(
	clock rosemarylb.Clock, p *proxy.Proxy, keeper *duty.Latest[KeeperAddress],
) *QuotaRequester {
	return &QuotaRequester{
		clock:       clock,
		requests:    p.QuotaRequests(),
		proxyRing:   p.Ring(),
		keeper:      keeper,
		nextCheckAt: clock.Now(),
	}
}

// Start runs the duty. The returned function stops it.
func (q *QuotaRequester) Start() (*duty.Duty, func()) {
	d, stop := duty.StartWithClock[quota.Request](q.clock, "quota", q, q.requests)
	return d, func() {
		stop()
		q.closeConnection()
	}
}

// Handle implements duty.Handler. It blocks until the keeper has replied, for at most
// quota.RequestTimeout.
func (q *QuotaRequester) Handle(_ time.Time, request quota.Request) {
	reserveRequestsTotal.Inc()
	reply := q.reserve(request)
	if !reply.Answered {
		reserveUnansweredTotal.Inc()
	}
	q.proxyRing.Put(proxy.QuotaReplied{
		Sequence: request.Sequence,
		Reply:    reply,
	})
}

// Next implements duty.Handler.
func (q *QuotaRequester) Next() time.Time {
	return q.nextCheckAt
}

// Tick implements duty.Handler. It tells the proxy of a new lease holder, which does
// not know yet what the instance holds.
func (q *QuotaRequester) Tick(now time.Time) {
	q.nextCheckAt = now.Add(keeperCheckInterval)
	if found := q.keeper.Load(); found.Token > q.token {
		q.token = found.Token
		q.proxyRing.Put(proxy.KeeperChanged{})
	}
}

// Dump implements duty.Handler.
func (q *QuotaRequester) Dump() any {
	return struct {
		Keeper string `json:"keeper"`
		Token  uint64 `json:"token"`
	}{
		Keeper: q.address,
		Token:  q.token,
	}
}

// reserve sends a request. It returns the zero reply if the keeper does not answer.
func (q *QuotaRequester) reserve(request quota.Request) quota.Reply {
	address := q.keeper.Load().Address
	if address == "" {
		return quota.Reply{}
	}
	if address != q.address {
		q.closeConnection()
		q.address = address
	}
	if q.conn == nil {
		conn, err := dialKeeper(address)
		if err != nil {
			return quota.Reply{}
		}
		q.conn = conn
	}
	ctx, cancel := context.WithTimeout(context.Background(), quota.RequestTimeout)
	defer cancel()
	reply, err := link.NewKeeperClient(q.conn).Reserve(ctx, encodeReserveRequest(request))
	if err != nil {
		q.consecutiveFailures++
		if q.consecutiveFailures >= redialFailureCount {
			q.closeConnection()
		}
		return quota.Reply{}
	}
	q.consecutiveFailures = 0
	return decodeReserveReply(reply)
}

func (q *QuotaRequester) closeConnection() {
	if q.conn != nil {
		_ = q.conn.Close()
		q.conn = nil
	}
	q.consecutiveFailures = 0
}
