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
	// fleetCapacity is how many events may wait for the fleet duty.
	fleetCapacity = 8192
	// documentPause is the wait before a configuration is asked for again.
	documentPause = 300 * time.Millisecond
)

// Event is what the fleet duty decides on.
type Event interface {
	fleetEvent()
}

// Heard brings a heartbeat of another instance.
type Heard struct {
	// Heartbeat is what it says.
	Heartbeat member.Heartbeat
}

// Requested asks for the configuration in force.
type Requested struct {
	// From is the instance that asks.
	From rosemarylb.InstanceID
}

// Received brings a configuration from another instance.
type Received struct {
	// Revision is its revision.
	Revision uint64
	// Document is its text.
	Document []byte
}

// Accepted brings a configuration from the platform.
type Accepted struct {
	// Revision is its revision.
	Revision uint64
	// Document is its text.
	Document []byte
}

// Listed brings the platform's list of instances.
type Listed struct {
	// Members are the listed instances.
	Members []rosemarylb.Member
}

// Announced brings a primary decided on this instance.
type Announced struct {
	// Primary is the primary.
	Primary rosemarylb.Primary
}

// Leave makes this instance leave the fleet.
type Leave struct{}

func (Heard) fleetEvent()     {}
func (Requested) fleetEvent() {}
func (Received) fleetEvent()  {}
func (Accepted) fleetEvent()  {}
func (Listed) fleetEvent()    {}
func (Announced) fleetEvent() {}
func (Leave) fleetEvent()     {}

// Fleet keeps the view: who is alive, which configuration is in force, and
// which primaries are announced. It is the only writer of the view.
type Fleet struct {
	table   member.Table
	view    *duty.Latest[rosemarylb.View]
	senders *Senders
	parse   func([]byte) (rosemarylb.ServiceConfig, error)
	log     *slog.Logger
	ring    *duty.Ring[Event]
	askAt   time.Time
}

// FleetOption changes a fleet under construction.
type FleetOption func(*Fleet)

// WithParser sets what reads a configuration document.
func WithParser(parse func([]byte) (rosemarylb.ServiceConfig, error)) FleetOption {
	return func(f *Fleet) {
		f.parse = parse
	}
}

// WithLogger sets where events are logged.
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
		ring: duty.NewRing[Event]("fleet", fleetCapacity),
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
func (f *Fleet) Handle(now time.Time, item Event) {
	switch e := item.(type) {
	case Heard:
		f.heard(e.Heartbeat, now)
	case Requested:
		f.requested(e.From)
	case Received:
		f.accept(e.Revision, e.Document, "instance")
	case Accepted:
		f.accept(e.Revision, e.Document, "platform")
	case Listed:
		f.table = f.table.WithPlatformInstances(e.Members)
	case Announced:
		f.announced(e.Primary)
	case Leave:
		f.update(f.table.WithLeaving())
	}
}

// Tick implements duty.Handler.
func (f *Fleet) Tick(now time.Time) {
	f.update(f.table.WithTick(now))
}

// Next implements duty.Handler.
func (f *Fleet) Next() time.Time {
	return f.table.Next()
}

func (f *Fleet) heard(h member.Heartbeat, now time.Time) {
	f.update(f.table.WithHeartbeat(h, now))
	if h.Revision <= f.table.View().ServiceConfig.Revision || now.Before(f.askAt) {
		return
	}
	f.askAt = now.Add(documentPause)
	f.senders.send(h.Sender, &link.Envelope{
		Body: &link.Envelope_DocumentRequest{
			DocumentRequest: &link.DocumentRequest{
				Revision: h.Revision,
			},
		},
	}, nil)
}

func (f *Fleet) requested(from rosemarylb.InstanceID) {
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

// accept puts a configuration in force; a revision that is not later, or
// that cannot be read, changes nothing.
func (f *Fleet) accept(revision uint64, document []byte, source string) {
	known := f.table.View().ServiceConfig.Revision
	if revision <= known {
		return
	}
	s, err := f.parse(document)
	if err != nil {
		f.log.Error("configuration refused", "revision", revision, "source", source, "reason", err.Error())
		return
	}
	f.askAt = time.Time{}
	f.update(f.table.WithService(s.WithRevision(revision), document))
	now := f.table.View().ServiceConfig.Revision
	rosemarylb.Invariantf(now > known, "the configuration went from revision %d to %d", known, now)
	f.log.Info("configuration in force", "revision", revision, "source", source)
}

func (f *Fleet) announced(p rosemarylb.Primary) {
	f.log.Info("primary announced", "database", string(p.Database), "term", uint64(p.Term), "endpoint",
		string(p.Endpoint))
	f.update(f.table.WithPrimary(p))
}

// update publishes the view and sends what the table wants said.
func (f *Fleet) update(t member.Table, messages []member.Message) {
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
		// Lists are immutable: the same list holds no change.
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
	// Instance names the instance.
	Instance string `json:"instance"`
	// Address is where other instances reach it.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Status is how it is seen.
	Status string `json:"status"`
	// Revision is the revision that it last reported here.
	Revision uint64 `json:"revision"`
}

// Dump implements duty.Handler.
func (f *Fleet) Dump() any {
	return ReportOf(f.table.View())
}

// ReportOf describes a view for a dump.
func ReportOf(v rosemarylb.View) FleetReport {
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
