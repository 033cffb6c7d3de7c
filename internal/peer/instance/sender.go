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
	// senderCount is the number of threads that send to other instances. An
	// instance that stops reading delays those that share its sender, for up to
	// sendTimeout an envelope.
	senderCount = 4
	// senderRingCapacity is the number of envelopes that one sender's ring holds.
	senderRingCapacity = 8192
	// sendTimeout bounds the opening of a stream and the sending of one envelope.
	sendTimeout = 200 * time.Millisecond
	// redialDelay is the time before an unreachable instance is dialed again.
	redialDelay = 300 * time.Millisecond
	// flowWindowBytes is the flow control window of a stream and of a connection.
	flowWindowBytes = 4 << 20
	// maxEnvelopeBytes is the size of the largest envelope sent or accepted.
	maxEnvelopeBytes = 20 << 20
)

var (
	sentMessages         = metrics.NewCounter(`rosemarylb_instance_sent_messages_total`)
	sentBytesSameRegion  = metrics.NewCounter(`rosemarylb_instance_sent_bytes_total{region="same"}`)
	sentBytesOtherRegion = metrics.NewCounter(`rosemarylb_instance_sent_bytes_total{region="other"}`)
)

// outboundEnvelope is an envelope to be sent to another instance.
type outboundEnvelope struct {
	to        rosemarylb.Member
	envelope  *link.Envelope
	onFailure func(mayBeSent bool)
}

// Senders are the duties that send to other instances.
type Senders struct {
	self  rosemarylb.InstanceID
	rings []*duty.Ring[outboundEnvelope]
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
		ring := duty.NewRing[outboundEnvelope]("sender", senderRingCapacity)
		h := &sender{
			region:  region,
			streams: map[string]*stream{},
		}
		d, stop := duty.Start("sender", h, ring)
		s.rings = append(s.rings, ring)
		duties = append(duties, d)
		stops = append(stops, func() {
			stop()
			h.closeStreams()
		})
	}
	return s, duties, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// send offers an envelope to the sender of an instance, and returns false when the
// sender's ring is full. onFailure, if not nil, is called on the sender's thread
// when sending fails; mayBeSent is true if the instance may have received the
// envelope nevertheless.
func (s *Senders) send(to rosemarylb.Member, e *link.Envelope, onFailure func(mayBeSent bool)) bool {
	e.From = string(s.self)
	ring := s.rings[placement.Weight(to.ID, "sender")%senderCount]
	return ring.Offer(outboundEnvelope{
		to:        to,
		envelope:  e,
		onFailure: onFailure,
	})
}

// SendRequest sends a request to the instance that owns its endpoint, and returns
// false when the sender's ring is full. onFailure is called on the sender's thread
// when sending fails; mayBeSent is true if the instance may have received the
// request nevertheless.
func (s *Senders) SendRequest(
	to rosemarylb.Member, r rosemarylb.Request, now time.Time, onFailure func(mayBeSent bool),
) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Request{
			Request: encodeRequest(r, now),
		},
	}, onFailure)
}

// SendOutcome sends an outcome to the instance that sent the request.
func (s *Senders) SendOutcome(to rosemarylb.Member, o rosemarylb.Outcome, now time.Time) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Answer{
			Answer: encodeOutcome(o, now),
		},
	}, nil)
}

// SendCancel forwards a cancel request, either for a request by its identity or,
// with an empty identity, for the session with the given process and secret key.
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

// SendRelease notifies the owner of a transaction's pinned connection that the
// session has ended.
func (s *Senders) SendRelease(
	to rosemarylb.Member, id rosemarylb.RequestID, endpoint rosemarylb.EndpointID, connection uint64,
) bool {
	return s.send(to, &link.Envelope{
		Body: &link.Envelope_Release{
			Release: &link.Release{
				Id:       encodeID(id),
				Endpoint: string(endpoint),
				Lease:    connection,
			},
		},
	}, nil)
}

// stream is the stream to one instance; client is nil while it is unreachable.
type stream struct {
	connection *grpc.ClientConn
	client     grpc.ClientStreamingClient[link.Envelope, link.Closed]
	cancel     context.CancelFunc
	retryAt    time.Time
}

// sender is the handler of one sender duty. Its thread blocks on the sockets.
type sender struct {
	region  rosemarylb.RegionName
	streams map[string]*stream
}

// Handle implements duty.Handler.
func (s *sender) Handle(now time.Time, o outboundEnvelope) {
	st := s.stream(o.to.Address, now)
	if st == nil || st.client == nil {
		o.fail(false)
		return
	}
	timer := time.AfterFunc(sendTimeout, st.cancel)
	err := st.client.Send(o.envelope)
	timer.Stop()
	sentMessages.Inc()
	s.countBytes(o)
	if err != nil {
		o.fail(true)
		s.closeStream(o.to.Address, now)
	}
}

// countBytes counts traffic between regions separately, since bandwidth between
// regions is limited and billed.
func (s *sender) countBytes(o outboundEnvelope) {
	if o.to.Region == s.region {
		sentBytesSameRegion.Add(proto.Size(o.envelope))
		return
	}
	sentBytesOtherRegion.Add(proto.Size(o.envelope))
}

func (o outboundEnvelope) fail(mayBeSent bool) {
	if o.onFailure != nil {
		o.onFailure(mayBeSent)
	}
}

// stream returns the stream to an address, and opens one unless an attempt failed
// within redialDelay. Its client is nil while the address cannot be reached.
func (s *sender) stream(address string, now time.Time) *stream {
	st, found := s.streams[address]
	if found && (st.client != nil || now.Before(st.retryAt)) {
		return st
	}
	st = openStream(address)
	if st.client == nil {
		st.retryAt = time.Now().Add(redialDelay)
	}
	s.streams[address] = st
	return st
}

func openStream(address string) *stream {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(flowWindowBytes),
		grpc.WithInitialConnWindowSize(flowWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxEnvelopeBytes)))
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

func (s *sender) closeStream(address string, now time.Time) {
	st := s.streams[address]
	st.cancel()
	_ = st.connection.Close()
	s.streams[address] = &stream{
		retryAt: now.Add(redialDelay),
	}
}

func (s *sender) closeStreams() {
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
