package instance

import (
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

var (
	receivedMessages = metrics.NewCounter(`rosemarylb_instance_received_messages_total`)
	receivedBytes    = metrics.NewCounter(`rosemarylb_instance_received_bytes_total`)
)

// Receiver handles the messages of other instances. Its methods may be called
// concurrently.
type Receiver interface {
	// Submit accepts a request, or answers that it was not run when the owner's
	// ring is full.
	Submit(from rosemarylb.InstanceID, r rosemarylb.Request)
	// ReceiveOutcome accepts the outcome of a request that this instance sent.
	ReceiveOutcome(o rosemarylb.Outcome)
	// Cancel cancels a request by its identity, or by a session's process and
	// secret key if the identity is empty.
	Cancel(id rosemarylb.RequestID, process, secret uint32)
	// Release reports that a session with an open transaction has ended.
	Release(id rosemarylb.RequestID, endpoint rosemarylb.EndpointID, connection uint64)
	// HandleFleetEvent passes an event to the fleet duty.
	HandleFleetEvent(e Event)
}

// server implements link.LinkServer.
type server struct {
	link.UnimplementedLinkServer

	receiver Receiver
}

// Serve accepts the streams of other instances on a listener. What it receives counts
// in b. The returned function stops the server and waits for it to end.
func Serve(listener net.Listener, b *budget.Budget, r Receiver) func() {
	counted, options := newInboundListener(listener, b)
	s := grpc.NewServer(append(options,
		grpc.InitialWindowSize(flowWindowBytes),
		grpc.InitialConnWindowSize(flowWindowBytes),
		grpc.MaxRecvMsgSize(maxEnvelopeBytes))...)
	link.RegisterLinkServer(s, &server{
		receiver: r,
	})
	wait := duty.Spawn(func() {
		_ = s.Serve(counted)
	})
	return func() {
		s.Stop()
		wait()
	}
}

// Open implements link.LinkServer. It runs on a goroutine of the gRPC server.
func (s *server) Open(stream grpc.ClientStreamingServer[link.Envelope, link.Closed]) error {
	for {
		e, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "stream")
		}
		receivedMessages.Inc()
		receivedBytes.Add(proto.Size(e))
		s.dispatch(e, time.Now())
	}
}

func (s *server) dispatch(e *link.Envelope, now time.Time) {
	from := rosemarylb.InstanceID(e.GetFrom())
	switch body := e.GetBody().(type) {
	case *link.Envelope_Request:
		s.receiver.Submit(from, decodeRequest(body.Request, now))
	case *link.Envelope_Answer:
		s.receiver.ReceiveOutcome(decodeOutcome(body.Answer, now))
	case *link.Envelope_Cancel:
		s.receiver.Cancel(decodeID(body.Cancel.GetId()), body.Cancel.GetProcess(), body.Cancel.GetSecret())
	case *link.Envelope_Release:
		r := body.Release
		s.receiver.Release(decodeID(r.GetId()), rosemarylb.EndpointID(r.GetEndpoint()), r.GetLease())
	case *link.Envelope_Heartbeat:
		s.receiver.HandleFleetEvent(HeartbeatReceived{
			Heartbeat: decodeHeartbeat(body.Heartbeat),
		})
	case *link.Envelope_DocumentRequest:
		s.receiver.HandleFleetEvent(DocumentRequested{
			From: from,
		})
	case *link.Envelope_Document:
		s.receiver.HandleFleetEvent(DocumentReceived{
			Revision: body.Document.GetRevision(),
			Document: body.Document.GetText(),
		})
	}
}
