package instance

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/member"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
)

const (
	// fleetRingCapacity is the number of events that the fleet duty's ring holds.
	fleetRingCapacity = 8192
	// documentRetryDelay is the time before a configuration is requested again.
	documentRetryDelay = 300 * time.Millisecond
)

// Event is an event that the fleet duty handles.
type Event interface {
	fleetEvent()
}

// HeartbeatReceived reports a heartbeat of another instance.
type HeartbeatReceived struct {
	// Heartbeat is the received heartbeat.
	Heartbeat member.Heartbeat
}

// DocumentRequested reports that another instance requests the configuration in
// force.
type DocumentRequested struct {
	// From is the instance that sent the request.
	From rosemarylb.InstanceID
}

// DocumentReceived reports a configuration sent by another instance.
type DocumentReceived struct {
	// Revision is its revision.
	Revision uint64
	// Document is its text.
	Document []byte
}

// DocumentPublished reports a configuration published by the platform.
type DocumentPublished struct {
	// Revision is its revision.
	Revision uint64
	// Document is its text.
	Document []byte
}

// MembersListed reports the platform's list of instances.
type MembersListed struct {
	// Members are the listed instances.
	Members []rosemarylb.Member
}

// PrimaryAnnounced reports a primary that an arbiter on this instance has established.
type PrimaryAnnounced struct {
	// Primary is the primary and its term.
	Primary rosemarylb.Primary
}

// LeaveRequested makes this instance announce that it leaves the fleet.
type LeaveRequested struct{}

func (HeartbeatReceived) fleetEvent() {}
func (DocumentRequested) fleetEvent() {}
func (DocumentReceived) fleetEvent()  {}
func (DocumentPublished) fleetEvent() {}
func (MembersListed) fleetEvent()     {}
func (PrimaryAnnounced) fleetEvent()  {}
func (LeaveRequested) fleetEvent()    {}

// Fleet is the duty that maintains the view: the members with their statuses, the
// configuration in force and the announced primaries. It is the only writer of the
// view.
type Fleet struct {
	table                 member.Table
	view                  *duty.Latest[rosemarylb.View]
	senders               *Senders
	parse                 func([]byte) (rosemarylb.ServiceConfig, error)
	log                   *slog.Logger
	ring                  *duty.Ring[Event]
	nextDocumentRequestAt time.Time
}

// FleetOption changes a fleet under construction.
type FleetOption func(*Fleet)

// WithParser sets the function that parses a configuration document.
func WithParser(parse func([]byte) (rosemarylb.ServiceConfig, error)) FleetOption {
	return func(f *Fleet) {
		f.parse = parse
	}
}

// WithLogger sets the logger of membership and configuration changes.
func WithLogger(l *slog.Logger) FleetOption {
	return func(f *Fleet) {
		f.log = l
	}
}

// NewFleet returns a fleet duty that is not yet started, and the view that it
// will write.
func NewFleet(
	table member.Table, senders *Senders, options ...FleetOption,
) (*Fleet, *duty.Latest[rosemarylb.View]) {
	f := &Fleet{
		table:   table,
		view:    duty.NewLatest(table.View()),
		senders: senders,
		parse: func([]byte) (rosemarylb.ServiceConfig, error) {
			return rosemarylb.ServiceConfig{}, errors.New("no parser")
		},
		log:  slog.Default(),
		ring: duty.NewRing[Event]("fleet", fleetRingCapacity),
	}
	for _, o := range options {
		o(f)
	}
	return f, f.view
}

// Ring returns the ring that feeds the fleet duty.
func (f *Fleet) Ring() *duty.Ring[Event] {
	return f.ring
}

// Start runs the fleet duty. The returned function stops it.
func (f *Fleet) Start() (*duty.Duty, func()) {
	return duty.Start[Event]("fleet", f, f.ring)
}

// Handle implements duty.Handler.
func (f *Fleet) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case HeartbeatReceived:
		f.handleHeartbeat(e.Heartbeat, now)
	case DocumentRequested:
		f.sendDocument(e.From)
	case DocumentReceived:
		f.applyDocument(e.Revision, e.Document, "instance")
	case DocumentPublished:
		f.applyDocument(e.Revision, e.Document, "platform")
	case MembersListed:
		f.table = f.table.WithPlatformInstances(e.Members)
	case PrimaryAnnounced:
		f.recordPrimary(e.Primary)
	case LeaveRequested:
		f.publish(f.table.WithLeaving())
	}
}

// Tick implements duty.Handler.
func (f *Fleet) Tick(now time.Time) {
	f.publish(f.table.WithTick(now))
}

// Next implements duty.Handler.
func (f *Fleet) Next() time.Time {
	return f.table.Next()
}

func (f *Fleet) handleHeartbeat(h member.Heartbeat, now time.Time) {
	f.publish(f.table.WithHeartbeat(h, now))
	if h.Revision <= f.table.View().ServiceConfig.Revision || now.Before(f.nextDocumentRequestAt) {
		return
	}
	f.nextDocumentRequestAt = now.Add(documentRetryDelay)
	f.senders.send(h.Sender, &link.Envelope{
		Body: &link.Envelope_DocumentRequest{
			DocumentRequest: &link.DocumentRequest{
				Revision: h.Revision,
			},
		},
	}, nil)
}

func (f *Fleet) sendDocument(from rosemarylb.InstanceID) {
	v := f.table.View()
	to, found := v.Member(from)
	if !found || v.ServiceConfig.Revision == 0 {
		return
	}
	f.senders.send(to, &link.Envelope{
		Body: &link.Envelope_Document{
			Document: &link.Document{
				Revision: v.ServiceConfig.Revision,
				Text:     v.Document,
			},
		},
	}, nil)
}

// applyDocument puts a configuration in force. It ignores a revision that is not
// later than the one in force, and a document that does not parse.
func (f *Fleet) applyDocument(revision uint64, document []byte, source string) {
	known := f.table.View().ServiceConfig.Revision
	if revision <= known {
		return
	}
	s, err := f.parse(document)
	if err != nil {
		f.log.Error("configuration refused", "revision", revision, "source", source, "reason", err.Error())
		return
	}
	f.nextDocumentRequestAt = time.Time{}
	f.publish(f.table.WithServiceConfig(s.WithRevision(revision), document))
	now := f.table.View().ServiceConfig.Revision
	rosemarylb.Invariantf(now > known, "the configuration went from revision %d to %d", known, now)
	f.log.Info("configuration in force", "revision", revision, "source", source)
}

func (f *Fleet) recordPrimary(p rosemarylb.Primary) {
	f.log.Info("primary announced", "database", string(p.Database), "term", uint64(p.Term), "endpoint",
		string(p.Endpoint))
	f.publish(f.table.WithPrimary(p))
}

// publish stores the table and its view, and sends the heartbeats that the table
// has produced.
func (f *Fleet) publish(t member.Table, messages []member.Message) {
	f.logChanges(f.table.View(), t.View())
	f.table = t
	f.view.Store(t.View())
	for _, m := range messages {
		f.senders.send(m.To, &link.Envelope{
			Body: &link.Envelope_Heartbeat{
				Heartbeat: encodeHeartbeat(m.Heartbeat),
			},
		}, nil)
	}
}

func (f *Fleet) logChanges(before, after rosemarylb.View) {
	if &before.Members[0] == &after.Members[0] {
		// Member lists are immutable: an identical list has no changes.
		return
	}
	for _, m := range after.Members {
		known, found := before.Member(m.ID)
		if !found || known.Status != m.Status {
			f.log.Info("member changed", "instance", string(m.ID), "status", m.Status.String(), "incarnation",
				m.Incarnation)
		}
	}
}

// FleetReport is the fleet's part of a dump.
type FleetReport struct {
	// Revision is the configuration revision in force.
	Revision uint64 `json:"revision"`
	// Members are the known instances with their statuses.
	Members []MemberReport `json:"members"`
	// Primaries are the announced primaries with their terms.
	Primaries map[string]string `json:"primaries"`
}

// MemberReport is one instance in a dump.
type MemberReport struct {
	// Instance is the name of the instance.
	Instance string `json:"instance"`
	// Address is the address at which other instances reach it.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Status is its status in this instance's view.
	Status string `json:"status"`
	// Revision is the configuration revision that it last reported to this instance.
	Revision uint64 `json:"revision"`
}

// Dump implements duty.Handler.
func (f *Fleet) Dump() any {
	return NewFleetReport(f.table.View())
}

// NewFleetReport returns the report of a view for a dump.
func NewFleetReport(v rosemarylb.View) FleetReport {
	r := FleetReport{
		Revision:  v.ServiceConfig.Revision,
		Primaries: map[string]string{},
	}
	for _, m := range v.Members {
		r.Members = append(r.Members, MemberReport{
			Instance: string(m.ID),
			Address:  m.Address,
			Domain:   string(m.Domain),
			Status:   m.Status.String(),
			Revision: m.Revision,
		})
	}
	i := v.Primaries.Iterator()
	for !i.Done() {
		name, p, _ := i.Next()
		position := rosemarylb.Position{
			Term: p.Term,
		}
		r.Primaries[string(name)] = string(p.Endpoint) + " term " + position.String()
	}
	return r
}
