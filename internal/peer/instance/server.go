package instance

import (
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

var (
	receivedTotal = metrics.NewCounter(`rosemarylb_instance_received_messages_total`)
	receivedBytes = metrics.NewCounter(`rosemarylb_instance_received_bytes_total`)
)

// Receiver takes what other instances send. Its methods may be called from
// several threads.
type Receiver interface {
	// Submit takes a request, and answers it itself when it has no room.
	Submit(from rosemarylb.InstanceID, r rosemarylb.Request)
	// Answer takes an outcome.
	Answer(o rosemarylb.Outcome)
	// Cancel takes a request to cancel, by identity or by a session's key.
	Cancel(id rosemarylb.RequestID, process, secret uint32)
	// Release takes the end of a session with an open transaction.
	Release(id rosemarylb.RequestID, endpoint rosemarylb.EndpointID, lease uint64)
	// Gossip takes an event for the fleet duty.
	Gossip(e Event)
}

// server implements the generated service.
type server struct {
	link.UnimplementedLinkServer

	receiver Receiver
}

// Serve takes streams of other instances on a listener. The returned function
// stops it.
func Serve(listener net.Listener, r Receiver) func() {
	s := grpc.NewServer(
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(messageBytes))
	link.RegisterLinkServer(s, &server{
		receiver: r,
	})
	wait := duty.Spawn(func() {
		_ = s.Serve(listener)
	})
	return func() {
		s.Stop()
		wait()
	}
}

// Open implements link.LinkServer. It runs on a thread of the library.
func (s *server) Open(stream grpc.ClientStreamingServer[link.Envelope, link.Closed]) error {
	for {
		e, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "stream")
		}
		receivedTotal.Inc()
		receivedBytes.Add(proto.Size(e))
		s.take(e, time.Now())
	}
}

func (s *server) take(e *link.Envelope, now time.Time) {
	from := rosemarylb.InstanceID(e.GetFrom())
	switch body := e.GetBody().(type) {
	case *link.Envelope_Request:
		s.receiver.Submit(from, decodeRequest(body.Request, now))
	case *link.Envelope_Answer:
		s.receiver.Answer(decodeAnswer(body.Answer, now))
	case *link.Envelope_Cancel:
		s.receiver.Cancel(decodeID(body.Cancel.GetId()), body.Cancel.GetProcess(), body.Cancel.GetSecret())
	case *link.Envelope_Release:
		r := body.Release
		s.receiver.Release(decodeID(r.GetId()), rosemarylb.EndpointID(r.GetEndpoint()), r.GetLease())
	case *link.Envelope_Heartbeat:
		s.receiver.Gossip(Heard{
			Heartbeat: decodeHeartbeat(body.Heartbeat),
		})
	case *link.Envelope_DocumentRequest:
		s.receiver.Gossip(Requested{
			From: from,
		})
	case *link.Envelope_Document:
		s.receiver.Gossip(Received{
			Revision: body.Document.GetRevision(),
			Document: body.Document.GetText(),
		})
	}
}
