package instance

import (
	"context"
	"time"

	"rosemarylb"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/placement"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
)

const (
	// senderCount is how many threads send to other instances. An instance
	// that takes nothing delays those that share its sender.
	senderCount = 4
	// senderCapacity is how many envelopes may wait for one sender.
	senderCapacity = 8192
	// sendTimeout is how long one envelope may take to leave.
	sendTimeout = 200 * time.Millisecond
	// redialPause is the wait after an instance could not be reached.
	redialPause = 300 * time.Millisecond
	// windowBytes is the flow control window of one stream.
	windowBytes = 4 << 20
	// messageBytes is the size of the largest envelope.
	messageBytes = 20 << 20
)

var (
	sentTotal = metrics.NewCounter(`rosemarylb_instance_sent_messages_total`)
	sentNear  = metrics.NewCounter(`rosemarylb_instance_sent_bytes_total{region="same"}`)
	sentFar   = metrics.NewCounter(`rosemarylb_instance_sent_bytes_total{region="other"}`)
)

// outbound is an envelope on its way to another instance.
type outbound struct {
	to       rosemarylb.Member
	envelope *link.Envelope
	failed   func(left bool)
}

// Senders are the threads that send to other instances.
type Senders struct {
	self  rosemarylb.InstanceID
	rings []*duty.Ring[outbound]
}

// NewSenders starts the senders of an instance in a region. The returned
// function stops them.
func NewSenders(self rosemarylb.InstanceID, region rosemarylb.RegionName) (*Senders, []*duty.Duty, func()) {
	s := &Senders{
		self: self,
	}
	var duties []*duty.Duty
	var stops []func()
	for range senderCount {
		ring := duty.NewRing[outbound]("sender", senderCapacity)
		h := &sender{
			region:  region,
			streams: map[string]*stream{},
		}
		d, stop := duty.Start("sender", h, ring)
		s.rings = append(s.rings, ring)
		duties = append(duties, d)
		stops = append(stops, func() {
			stop()
			h.close()
		})
	}
	return s, duties, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// send offers an envelope, false when the ring is full. failed is called when
// it could not be sent, with whether it may have left all the same.
func (s *Senders) send(to rosemarylb.Member, e *link.Envelope, failed func(left bool)) bool {
	e.From = string(s.self)
	ring := s.rings[placement.Weight(to.ID, "sender")%senderCount]
	return ring.Offer(outbound{
		to:       to,
		envelope: e,
		failed:   failed,
	})
}

// SendRequest sends a request to the instance that owns its endpoint; failed
// is called when it could not be sent, with whether it may have left.
func (s *Senders) SendRequest(to rosemarylb.Member, r rosemarylb.Request, now time.Time, failed func(left bool)) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Request{
			Request: encodeRequest(r, now),
		},
	}, failed)
}

// SendAnswer sends an outcome to the instance that asked.
func (s *Senders) SendAnswer(to rosemarylb.Member, o rosemarylb.Outcome, now time.Time) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Answer{
			Answer: encodeAnswer(o, now),
		},
	}, nil)
}

// SendCancel passes on a request to cancel; an empty identity stands for the
// session of the given key.
func (s *Senders) SendCancel(to rosemarylb.Member, id rosemarylb.RequestID, process, secret uint32) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Cancel{
			Cancel: &link.Cancel{
				Id:      encodeID(id),
				Process: process,
				Secret:  secret,
			},
		},
	}, nil)
}

// SendRelease tells the owner of a transaction's connection that its session
// is gone.
func (s *Senders) SendRelease(
	to rosemarylb.Member, id rosemarylb.RequestID, endpoint rosemarylb.EndpointID, lease uint64,
) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Release{
			Release: &link.Release{
				Id:       encodeID(id),
				Endpoint: string(endpoint),
				Lease:    lease,
			},
		},
	}, nil)
}

// stream is the way to one instance.
type stream struct {
	connection *grpc.ClientConn
	client     grpc.ClientStreamingClient[link.Envelope, link.Closed]
	cancel     context.CancelFunc
	retryAt    time.Time
}

// sender runs on one sender's thread, which waits for the sockets.
type sender struct {
	region  rosemarylb.RegionName
	streams map[string]*stream
}

// Handle implements duty.Handler.
func (s *sender) Handle(now time.Time, o outbound) {
	st := s.stream(o.to.Address, now)
	if st == nil || st.client == nil {
		o.fail(false)
		return
	}
	timer := time.AfterFunc(sendTimeout, st.cancel)
	err := st.client.Send(o.envelope)
	timer.Stop()
	sentTotal.Inc()
	s.countBytes(o)
	if err != nil {
		o.fail(true)
		s.drop(o.to.Address, now)
	}
}

// countBytes counts apart what crosses regions, since that link is narrow and
// paid for.
func (s *sender) countBytes(o outbound) {
	if o.to.Region == s.region {
		sentNear.Add(proto.Size(o.envelope))
		return
	}
	sentFar.Add(proto.Size(o.envelope))
}

func (o outbound) fail(left bool) {
	if o.failed != nil {
		o.failed(left)
	}
}

// stream returns the way to an address, nil while it cannot be reached.
func (s *sender) stream(address string, now time.Time) *stream {
	st, found := s.streams[address]
	if found && (st.client != nil || now.Before(st.retryAt)) {
		return st
	}
	st = open(address)
	if st.client == nil {
		st.retryAt = time.Now().Add(redialPause)
	}
	s.streams[address] = st
	return st
}

func open(address string) *stream {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(messageBytes)))
	if err != nil {
		return &stream{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(sendTimeout, cancel)
	client, err := link.NewLinkClient(connection).Open(ctx)
	stopped := timer.Stop()
	if err != nil || !stopped {
		cancel()
		_ = connection.Close()
		return &stream{}
	}
	return &stream{
		connection: connection,
		client:     client,
		cancel:     cancel,
	}
}

func (s *sender) drop(address string, now time.Time) {
	st := s.streams[address]
	st.cancel()
	_ = st.connection.Close()
	s.streams[address] = &stream{
		retryAt: now.Add(redialPause),
	}
}

func (s *sender) close() {
	for _, st := range s.streams {
		if st.client == nil {
			continue
		}
		st.cancel()
		_ = st.connection.Close()
	}
}

// Tick implements duty.Handler.
func (*sender) Tick(time.Time) {}

// Next implements duty.Handler.
func (*sender) Next() time.Time {
	return time.Time{}
}

// Dump implements duty.Handler.
func (s *sender) Dump() any {
	reachable := map[string]bool{}
	for address, st := range s.streams {
		reachable[address] = st.client != nil
	}
	return reachable
}
