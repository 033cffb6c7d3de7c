// Package instance communicates with the other instances of the proxy over gRPC:
// it carries requests and outcomes between them, requests permits from the keeper,
// and maintains the view of the fleet.
package instance

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/member"
	"rosemarylb/internal/message/link"

	"google.golang.org/protobuf/proto"
)

func encodeID(id rosemarylb.RequestID) *link.RequestID {
	return &link.RequestID{
		Instance: string(id.Instance),
		Session:  uint64(id.Session),
		Sequence: id.Sequence,
	}
}

func decodeID(id *link.RequestID) rosemarylb.RequestID {
	return rosemarylb.RequestID{
		Instance: rosemarylb.InstanceID(id.GetInstance()),
		Session:  rosemarylb.SessionID(id.GetSession()),
		Sequence: id.GetSequence(),
	}
}

func encodePosition(p rosemarylb.Position) *link.Position {
	return &link.Position{
		Term: uint64(p.Term),
		Lsn:  uint64(p.LSN),
	}
}

func decodePosition(p *link.Position) rosemarylb.Position {
	return rosemarylb.Position{
		Term: rosemarylb.Term(p.GetTerm()),
		LSN:  rosemarylb.LSN(p.GetLsn()),
	}
}

// encodeRequest encodes a request. Deadlines are sent as the time that remains
// from now, since the clocks of instances differ.
func encodeRequest(r rosemarylb.Request, now time.Time) *link.Request {
	m := &link.Request{
		Id:              encodeID(r.ID),
		Database:        string(r.Database),
		Caller:          r.Caller,
		Rank:            uint32(r.Rank),
		Class:           uint32(r.Class),
		Latest:          r.Linearizable,
		RemainingMicros: r.Deadline.Sub(now).Microseconds(),
		QueueMicros:     r.QueueDeadline.Sub(now).Microseconds(),
		Key:             r.Key,
		Endpoint:        string(r.Target.Endpoint),
		Lease:           r.Target.PinnedConnection,
		Term:            uint64(r.Target.Term),
		Payload:         r.Payload,
	}
	if r.Floor.Known {
		m.Floor = encodePosition(r.Floor.Position)
	}
	if !r.AsOf.IsZero() {
		m.StalenessMillis = max(r.ArrivedAt.Sub(r.AsOf).Milliseconds(), 1)
	}
	if !r.Target.WaitDeadline.IsZero() {
		m.WaitMicros = r.Target.WaitDeadline.Sub(now).Microseconds()
	}
	for _, s := range r.Statements {
		m.Statements = append(m.Statements, &link.Statement{
			Name:           s.Name,
			Query:          s.Query,
			ParameterTypes: s.ParameterTypes,
		})
	}
	return m
}

// decodeRequest decodes a request and sets its deadlines by this instance's clock.
// A rank out of range becomes the lowest one, and an unknown class a write, which
// is never repeated without a key.
func decodeRequest(m *link.Request, now time.Time) rosemarylb.Request {
	r := rosemarylb.Request{
		ID:            decodeID(m.GetId()),
		Database:      rosemarylb.DatabaseName(m.GetDatabase()),
		Caller:        m.GetCaller(),
		Rank:          rosemarylb.Rank(min(m.GetRank(), rosemarylb.RankCount-1)),
		Class:         decodeClass(m.GetClass()),
		Linearizable:  m.GetLatest(),
		ArrivedAt:     now,
		QueueDeadline: now.Add(time.Duration(m.GetQueueMicros()) * time.Microsecond),
		Deadline:      now.Add(time.Duration(m.GetRemainingMicros()) * time.Microsecond),
		Key:           m.GetKey(),
		Target: rosemarylb.Target{
			Endpoint:         rosemarylb.EndpointID(m.GetEndpoint()),
			PinnedConnection: m.GetLease(),
			Term:             rosemarylb.Term(m.GetTerm()),
		},
		Payload: m.GetPayload(),
	}
	if m.GetFloor() != nil {
		r.Floor = rosemarylb.NewFloor(decodePosition(m.GetFloor()))
	}
	if m.GetStalenessMillis() > 0 {
		r.AsOf = now.Add(-time.Duration(m.GetStalenessMillis()) * time.Millisecond)
	}
	if m.GetWaitMicros() > 0 {
		r.Target.WaitDeadline = now.Add(time.Duration(m.GetWaitMicros()) * time.Microsecond)
	}
	for _, s := range m.GetStatements() {
		r.Statements = append(r.Statements, rosemarylb.Statement{
			Name:           s.GetName(),
			Query:          s.GetQuery(),
			ParameterTypes: s.GetParameterTypes(),
		})
	}
	return r
}

func decodeClass(number uint32) rosemarylb.Class {
	if number > uint32(rosemarylb.ClassRollback) {
		return rosemarylb.ClassWrite
	}
	return rosemarylb.Class(number)
}

func encodeOutcome(o rosemarylb.Outcome, now time.Time) *link.Answer {
	m := &link.Answer{
		Id:       encodeID(o.ID),
		Kind:     uint32(o.Kind),
		Reason:   uint32(o.Reason),
		Position: encodePosition(o.Position),
		Lease:    o.PinnedConnection,
		Failed:   o.Failed,
		Payload:  o.Payload,
		State: &link.EndpointState{
			Id:            string(o.Endpoint),
			Primary:       o.State.Primary,
			Term:          uint64(o.State.Term),
			Log:           encodePosition(o.State.Log),
			Applied:       encodePosition(o.State.Applied),
			AgeMicros:     now.Sub(o.State.ProbedAt).Microseconds(),
			CurrentMicros: -1,
		},
	}
	if o.State.ProbedAt.IsZero() {
		m.State.AgeMicros = -1
	}
	if !o.State.CaughtUpAt.IsZero() {
		m.State.CurrentMicros = now.Sub(o.State.CaughtUpAt).Microseconds()
	}
	return m
}

// decodeOutcome decodes an outcome. An unrecognized kind becomes an unknown outcome,
// never that of a request that was not run.
func decodeOutcome(m *link.Answer, now time.Time) rosemarylb.Outcome {
	kind := rosemarylb.OutcomeKind(m.GetKind())
	if m.GetKind() > uint32(rosemarylb.OutcomeUnknown) {
		kind = rosemarylb.OutcomeUnknown
	}
	s := m.GetState()
	state := rosemarylb.EndpointState{
		ID:         rosemarylb.EndpointID(s.GetId()),
		Primary:    s.GetPrimary(),
		Term:       rosemarylb.Term(s.GetTerm()),
		Log:        decodePosition(s.GetLog()),
		Applied:    decodePosition(s.GetApplied()),
		ProbedAt:   timeBefore(now, s.GetAgeMicros()),
		CaughtUpAt: timeBefore(now, s.GetCurrentMicros()),
	}
	return rosemarylb.Outcome{
		ID:               decodeID(m.GetId()),
		Kind:             kind,
		Reason:           rosemarylb.Reason(min(m.GetReason(), uint32(rosemarylb.ReasonReadOnly))),
		Endpoint:         state.ID,
		Position:         decodePosition(m.GetPosition()),
		State:            state,
		PinnedConnection: m.GetLease(),
		Failed:           m.GetFailed(),
		Payload:          m.GetPayload(),
	}
}

func encodeMember(m rosemarylb.Member) *link.Member {
	return &link.Member{
		Id:          string(m.ID),
		Address:     m.Address,
		Domain:      string(m.Domain),
		Region:      string(m.Region),
		Incarnation: m.Incarnation,
		Status:      uint32(m.Status),
		Revision:    m.Revision,
	}
}

func decodeMember(m *link.Member) rosemarylb.Member {
	return rosemarylb.Member{
		ID:          rosemarylb.InstanceID(m.GetId()),
		Address:     m.GetAddress(),
		Domain:      rosemarylb.DomainName(m.GetDomain()),
		Region:      rosemarylb.RegionName(m.GetRegion()),
		Incarnation: m.GetIncarnation(),
		Status:      rosemarylb.MemberStatus(min(m.GetStatus(), uint32(rosemarylb.MemberDead))),
		Revision:    m.GetRevision(),
	}
}

func encodeHeartbeat(h member.Heartbeat) *link.Heartbeat {
	m := &link.Heartbeat{
		Sender:   encodeMember(h.Sender),
		Revision: h.Revision,
		Digest:   h.Digest,
		Full:     h.Full,
	}
	for _, known := range h.Members {
		m.Members = append(m.Members, encodeMember(known))
	}
	for _, p := range h.Primaries {
		m.Primaries = append(m.Primaries, &link.Primary{
			Database: string(p.Database),
			Term:     uint64(p.Term),
			Endpoint: string(p.Endpoint),
		})
	}
	return m
}

// HeartbeatSize returns the encoded size of a heartbeat in bytes, without the
// overhead of the transport.
func HeartbeatSize(h member.Heartbeat) int {
	return proto.Size(&link.Envelope{
		From: string(h.Sender.ID),
		Body: &link.Envelope_Heartbeat{
			Heartbeat: encodeHeartbeat(h),
		},
	})
}

func decodeHeartbeat(m *link.Heartbeat) member.Heartbeat {
	h := member.Heartbeat{
		Sender:   decodeMember(m.GetSender()),
		Revision: m.GetRevision(),
		Digest:   m.GetDigest(),
		Full:     m.GetFull(),
	}
	for _, known := range m.GetMembers() {
		h.Members = append(h.Members, decodeMember(known))
	}
	for _, p := range m.GetPrimaries() {
		h.Primaries = append(h.Primaries, rosemarylb.Primary{
			Database: rosemarylb.DatabaseName(p.GetDatabase()),
			Term:     rosemarylb.Term(p.GetTerm()),
			Endpoint: rosemarylb.EndpointID(p.GetEndpoint()),
		})
	}
	return h
}
