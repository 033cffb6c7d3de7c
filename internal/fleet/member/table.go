// Package member decides who belongs to the fleet. Each instance sends
// heartbeats to a constant number of neighbours, which accuse it when they
// stop; news travels from neighbour to neighbour at once.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rosemarylb"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringCount is the number of neighbours that watch an instance.
	ringCount = 3
	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval = 250 * time.Millisecond
	// deadAfter is how long a neighbour may keep silent.
	deadAfter = time.Second
	// graceLimit bounds the patience with a neighbour that others still hear.
	graceLimit = 30 * time.Second
	// compareInterval is the time between two comparisons of everything known.
	compareInterval = 4 * time.Second
	// contactInterval is the time between two tries to reach an instance
	// that is dead or only listed by the platform.
	contactInterval = 2 * time.Second
	// forgetAfter is how long a dead instance is remembered.
	forgetAfter = 10 * time.Minute
)

// Heartbeat is what instances tell each other.
type Heartbeat struct {
	// Sender is the instance that sends it.
	Sender rosemarylb.Member
	// Members are news of instances.
	Members []rosemarylb.Member
	// Primaries are news of databases.
	Primaries []rosemarylb.Primary
	// Revision is the sender's configuration revision.
	Revision uint64
	// Digest is of everything that the sender knows, 0 when not given.
	Digest uint64
	// Full is true when the message holds everything that the sender knows.
	Full bool
}

// Message is a heartbeat to be sent.
type Message struct {
	// To is the instance that it goes to.
	To rosemarylb.Member
	// Heartbeat is what it says.
	Heartbeat Heartbeat
}

// watched is the deadline of a neighbour's next heartbeat.
type watched struct {
	id       rosemarylb.InstanceID
	deadline time.Time
	silences int
}

// Table is an immutable state of membership.
type Table struct {
	view        rosemarylb.View
	watched     []watched
	followers   []rosemarylb.InstanceID
	seeds       []rosemarylb.Member
	dead        []obituary
	heartbeatAt time.Time
	compareAt   time.Time
	contactAt   time.Time
	random      *rand.Rand
}

// obituary is when a dead instance is forgotten.
type obituary struct {
	id       rosemarylb.InstanceID
	forgetAt time.Time
}

// Option changes a table under construction.
type Option func(*Table)

// WithSeed makes random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(t *Table) {
		t.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// WithKnown sets the instances that are known from the start, ordered by name.
func WithKnown(members []rosemarylb.Member, now time.Time) Option {
	return func(t *Table) {
		t.view = t.view.WithMembers(members)
		*t = t.rewatch(now)
	}
}

// NewTable returns the state of an instance that knows only itself.
func NewTable(self rosemarylb.Member, options ...Option) Table {
	t := Table{
		view:   rosemarylb.NewView(self),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range options {
		o(&t)
	}
	return t
}

// View returns what the instance knows of the fleet.
func (t Table) View() rosemarylb.View {
	return t.view
}

// WithListed returns the table with the platform's list of instances, which
// may lag: it only tells whom to contact.
func (t Table) WithListed(listed []rosemarylb.Member) Table {
	t.seeds = listed
	if len(t.view.Members) == 1 {
		t.contactAt = time.Time{}
	}
	return t
}

// WithService returns the table with a configuration, told to the neighbours.
func (t Table) WithService(s rosemarylb.Service, document []byte) (Table, []Message) {
	before := t.view.Service.Revision
	t.view = t.view.WithService(s, document)
	if t.view.Service.Revision == before {
		return t, nil
	}
	return t, t.tell(nil, nil, "")
}

// WithPrimary returns the table with a new primary, told to the neighbours.
func (t Table) WithPrimary(p rosemarylb.Primary) (Table, []Message) {
	if known, found := t.view.Primary(p.Database); found && !p.Supersedes(known) {
		return t, nil
	}
	t.view = t.view.WithPrimary(p)
	return t, t.tell(nil, []rosemarylb.Primary{p}, "")
}

// WithLeaving returns the table of an instance that shuts down.
func (t Table) WithLeaving() (Table, []Message) {
	t.view = t.view.WithSelf(t.view.Self.WithStatus(rosemarylb.MemberLeaving))
	return t, t.tell([]rosemarylb.Member{t.view.Self}, nil, "")
}

// WithHeartbeat returns the table told by another instance, and what has to
// be said in turn. News goes on to the neighbours at once.
func (t Table) WithHeartbeat(h Heartbeat, now time.Time) (Table, []Message) {
	t = t.heard(h.Sender.ID, now)
	var news []rosemarylb.Member
	for _, m := range append([]rosemarylb.Member{h.Sender}, h.Members...) {
		var changed bool
		t, changed = t.learn(m, now)
		if changed {
			known, _ := t.view.Member(m.ID)
			news = append(news, known)
		}
	}
	var primaries []rosemarylb.Primary
	for _, p := range h.Primaries {
		if known, found := t.view.Primary(p.Database); !found || p.Supersedes(known) {
			t.view = t.view.WithPrimary(p)
			primaries = append(primaries, p)
		}
	}
	var messages []Message
	if len(news) > 0 || len(primaries) > 0 {
		messages = t.tell(news, primaries, h.Sender.ID)
	}
	if h.Digest != 0 && h.Digest != t.digest() {
		messages = append(messages, t.full(h.Sender))
	}
	if h.Full && t.digest() != digestOf(h) {
		messages = append(messages, t.full(h.Sender))
	}
	return t, messages
}

// heard puts off the deadline of a neighbour that was heard directly.
func (t Table) heard(id rosemarylb.InstanceID, now time.Time) Table {
	list := slices.Clone(t.watched)
	for i := range list {
		if list[i].id == id {
			list[i] = watched{
				id:       id,
				deadline: now.Add(deadAfter),
			}
		}
	}
	t.watched = list
	return t
}

// learn takes news of one instance, and reports whether it was new.
func (t Table) learn(m rosemarylb.Member, now time.Time) (Table, bool) {
	if m.ID == t.view.Self.ID {
		return t.refute(m)
	}
	known, found := t.view.Member(m.ID)
	if found && !m.Overrides(known) {
		return t, false
	}
	if !found && m.Status == rosemarylb.MemberDead {
		return t, false
	}
	return t.withMember(m, now), true
}

// refute answers a false report of this instance with a later incarnation.
func (t Table) refute(m rosemarylb.Member) (Table, bool) {
	self := t.view.Self
	if !m.Overrides(self) {
		return t, false
	}
	self = self.WithIncarnation(m.Incarnation + 1)
	t.view = t.view.WithSelf(self)
	return t, true
}

func (t Table) withMember(m rosemarylb.Member, now time.Time) Table {
	members := make([]rosemarylb.Member, 0, len(t.view.Members)+1)
	for _, known := range t.view.Members {
		if known.ID != m.ID {
			members = append(members, known)
		}
	}
	members = append(members, m)
	slices.SortFunc(members, func(a, b rosemarylb.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	t.view = t.view.WithMembers(members)
	if m.Status == rosemarylb.MemberDead {
		t.dead = append(slices.Clone(t.dead), obituary{
			id:       m.ID,
			forgetAt: now.Add(forgetAfter),
		})
	}
	return t.rewatch(now)
}

// rewatch finds the neighbours anew after a change of the members.
func (t Table) rewatch(now time.Time) Table {
	self := t.view.Self.ID
	t.followers = neighbours(self, t.view.Members, true)
	var list []watched
	for _, id := range neighbours(self, t.view.Members, false) {
		i := slices.IndexFunc(t.watched, func(w watched) bool {
			return w.id == id
		})
		if i >= 0 {
			list = append(list, t.watched[i])
			continue
		}
		list = append(list, watched{
			id:       id,
			deadline: now.Add(deadAfter),
		})
	}
	t.watched = list
	return t
}

// tell returns the messages that bring news to the neighbours.
func (t Table) tell(
	members []rosemarylb.Member, primaries []rosemarylb.Primary, except rosemarylb.InstanceID,
) []Message {
	var messages []Message
	for _, id := range t.followers {
		if id == except {
			continue
		}
		if to, found := t.view.Member(id); found {
			messages = append(messages, t.message(to, members, primaries))
		}
	}
	return messages
}

func (t Table) message(
	to rosemarylb.Member, members []rosemarylb.Member, primaries []rosemarylb.Primary,
) Message {
	return Message{
		To: to,
		Heartbeat: Heartbeat{
			Sender:    t.view.Self,
			Members:   members,
			Primaries: primaries,
			Revision:  t.view.Service.Revision,
		},
	}
}

// full returns a message with everything known.
func (t Table) full(to rosemarylb.Member) Message {
	var primaries []rosemarylb.Primary
	i := t.view.Primaries.Iterator()
	for !i.Done() {
		_, p, _ := i.Next()
		primaries = append(primaries, p)
	}
	m := t.message(to, t.view.Members, primaries)
	m.Heartbeat.Full = true
	return m
}

func (t Table) digest() uint64 {
	return digestOf(t.full(rosemarylb.Member{}).Heartbeat)
}

// digestOf returns the sum of the hashes of a message's facts, so that their
// order has no effect.
func digestOf(h Heartbeat) uint64 {
	sum := uint64(0)
	for _, m := range h.Members {
		if m.Status == rosemarylb.MemberDead {
			continue
		}
		sum += xxhash.Sum64String(string(m.ID)) * (m.Incarnation*3 + uint64(m.Status) + 1)
	}
	for _, p := range h.Primaries {
		sum += xxhash.Sum64String(string(p.Database)+"\x00"+string(p.Endpoint)) * uint64(p.Term+1)
	}
	return max(sum, 1)
}
