// Package member implements fleet membership and failure detection. Instances
// are ordered on several hash rings. Each instance sends heartbeats to its
// successors, which declare it dead when the heartbeats stop. Changes spread by
// gossip: an instance that learns of one forwards it to its successors at once.
// An instance that is falsely declared dead refutes it with a later incarnation.
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
	// hashRingCount is the number of hash rings, and so the maximum number of
	// instances that monitor an instance.
	hashRingCount = 3
	// HeartbeatInterval is the interval of the heartbeats to a successor.
	HeartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a predecessor
	// is declared dead.
	heartbeatTimeout = time.Second
	// heartbeatTimeoutLimit bounds the timeout of a predecessor that misses
	// deadlines although other instances still receive its heartbeats.
	heartbeatTimeoutLimit = 30 * time.Second
	// digestInterval is the interval of anti-entropy, the exchange of digests
	// with a random instance.
	digestInterval = 4 * time.Second
	// reconnectInterval is the interval of the attempts to reach an instance
	// that is dead, or that the platform lists but is not a member.
	reconnectInterval = 2 * time.Second
	// tombstoneRetention is the time for which a dead instance stays in the
	// table.
	tombstoneRetention = 10 * time.Minute
)

// Heartbeat is a message between instances. It carries gossip.
type Heartbeat struct {
	// Sender is the record of the sending instance.
	Sender rosemarylb.Member
	// Members are changed membership records.
	Members []rosemarylb.Member
	// Primaries are changed primaries.
	Primaries []rosemarylb.Primary
	// Revision is the sender's configuration revision.
	Revision uint64
	// Digest is the hash of the sender's state, 0 if the message has none.
	Digest uint64
	// Full is true if Members and Primaries are the sender's complete state.
	Full bool
}

// Message is an outgoing heartbeat.
type Message struct {
	// To is the receiving instance.
	To rosemarylb.Member
	// Heartbeat is the content.
	Heartbeat Heartbeat
}

// monitoredMember is the failure detector's state for a predecessor.
type monitoredMember struct {
	id              rosemarylb.InstanceID
	deadline        time.Time
	missedDeadlines int
}

// Table is the membership state of an instance. It is immutable.
type Table struct {
	view              rosemarylb.View
	monitored         []monitoredMember
	successors        []rosemarylb.InstanceID
	platformInstances []rosemarylb.Member
	tombstones        []tombstone
	nextHeartbeatAt   time.Time
	nextDigestAt      time.Time
	nextReconnectAt   time.Time
	random            *rand.Rand
}

// tombstone records when a dead instance is removed from the table.
type tombstone struct {
	id        rosemarylb.InstanceID
	expiresAt time.Time
}

// Option configures a new Table.
type Option func(*Table)

// WithSeed sets the seed of the random generator, for reproducible tests.
func WithSeed(seed uint64) Option {
	return func(t *Table) {
		t.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// WithMembers sets the initial members. They must be sorted by name.
func WithMembers(members []rosemarylb.Member, now time.Time) Option {
	return func(t *Table) {
		t.view = t.view.WithMembers(members)
		*t = t.withNeighbours(now)
	}
}

// NewTable returns a table that contains only the local instance.
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

// View returns the instance's view of the fleet.
func (t Table) View() rosemarylb.View {
	return t.view
}

// WithPlatformInstances returns the table with the platform's list of instances.
// The list may be stale, so it does not change the members: it only provides
// candidates to connect to.
func (t Table) WithPlatformInstances(listed []rosemarylb.Member) Table {
	t.platformInstances = listed
	if len(t.view.Members) == 1 {
		t.nextReconnectAt = time.Time{}
	}
	return t
}

// WithServiceConfig returns the table with a configuration, and the messages that
// announce its revision. It has no effect if the same or a later revision is
// active.
func (t Table) WithServiceConfig(s rosemarylb.ServiceConfig, document []byte) (Table, []Message) {
	before := t.view.ServiceConfig.Revision
	t.view = t.view.WithServiceConfig(s, document)
	if t.view.ServiceConfig.Revision == before {
		return t, nil
	}
	return t, t.gossip(nil, nil, "")
}

// WithPrimary returns the table with a primary, and the messages that announce
// it. It has no effect if a primary of the same or a later term is known.
func (t Table) WithPrimary(p rosemarylb.Primary) (Table, []Message) {
	if known, found := t.view.Primary(p.Database); found && !p.Supersedes(known) {
		return t, nil
	}
	t.view = t.view.WithPrimary(p)
	return t, t.gossip(nil, []rosemarylb.Primary{p}, "")
}

// WithLeaving returns the table of an instance that shuts down, and the messages
// that announce it.
func (t Table) WithLeaving() (Table, []Message) {
	t.view = t.view.WithSelf(t.view.Self.WithStatus(rosemarylb.MemberLeaving))
	return t, t.gossip([]rosemarylb.Member{t.view.Self}, nil, "")
}

// WithHeartbeat processes a received heartbeat and returns the messages to send
// in response: changes are gossiped to the successors, and the sender receives
// the complete state if its digest or its complete state differs.
func (t Table) WithHeartbeat(h Heartbeat, now time.Time) (Table, []Message) {
	t = t.withDeadlineReset(h.Sender.ID, now)
	var members []rosemarylb.Member
	for _, m := range append([]rosemarylb.Member{h.Sender}, h.Members...) {
		var changed bool
		t, changed = t.merge(m, now)
		if changed {
			known, _ := t.view.Member(m.ID)
			members = append(members, known)
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
	if len(members) > 0 || len(primaries) > 0 {
		messages = t.gossip(members, primaries, h.Sender.ID)
	}
	if h.Digest != 0 && h.Digest != t.digest() {
		messages = append(messages, t.fullMessage(h.Sender))
	}
	if h.Full && t.digest() != digestOf(h) {
		messages = append(messages, t.fullMessage(h.Sender))
	}
	return t, messages
}

// withDeadlineReset restarts the timeout of a monitored instance from which a
// heartbeat was received, and clears its missed deadlines.
func (t Table) withDeadlineReset(id rosemarylb.InstanceID, now time.Time) Table {
	list := slices.Clone(t.monitored)
	for i := range list {
		if list[i].id == id {
			list[i] = monitoredMember{
				id:       id,
				deadline: now.Add(heartbeatTimeout),
			}
		}
	}
	t.monitored = list
	return t
}

// merge applies a membership record received by gossip, and reports whether the
// table changed.
func (t Table) merge(m rosemarylb.Member, now time.Time) (Table, bool) {
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

// refute overrides a newer record of the local instance, such as a false report
// of its death, with a later incarnation. It reports whether the table changed.
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
		t.tombstones = append(slices.Clone(t.tombstones), tombstone{
			id:        m.ID,
			expiresAt: now.Add(tombstoneRetention),
		})
	}
	return t.withNeighbours(now)
}

// withNeighbours recomputes the successors and the monitored predecessors after
// a change of the members. A predecessor that stays keeps its deadline.
func (t Table) withNeighbours(now time.Time) Table {
	self := t.view.Self.ID
	t.successors = ringNeighbours(self, t.view.Members, true)
	var list []monitoredMember
	for _, id := range ringNeighbours(self, t.view.Members, false) {
		i := slices.IndexFunc(t.monitored, func(w monitoredMember) bool {
			return w.id == id
		})
		if i >= 0 {
			list = append(list, t.monitored[i])
			continue
		}
		list = append(list, monitoredMember{
			id:       id,
			deadline: now.Add(heartbeatTimeout),
		})
	}
	t.monitored = list
	return t
}

// gossip returns messages with the given changes to all successors except one.
func (t Table) gossip(
	members []rosemarylb.Member, primaries []rosemarylb.Primary, except rosemarylb.InstanceID,
) []Message {
	var messages []Message
	for _, id := range t.successors {
		if id == except {
			continue
		}
		if to, found := t.view.Member(id); found {
			messages = append(messages, t.newMessage(to, members, primaries))
		}
	}
	return messages
}

func (t Table) newMessage(
	to rosemarylb.Member, members []rosemarylb.Member, primaries []rosemarylb.Primary,
) Message {
	return Message{
		To: to,
		Heartbeat: Heartbeat{
			Sender:    t.view.Self,
			Members:   members,
			Primaries: primaries,
			Revision:  t.view.ServiceConfig.Revision,
		},
	}
}

// fullMessage returns a message with the complete state.
func (t Table) fullMessage(to rosemarylb.Member) Message {
	var primaries []rosemarylb.Primary
	i := t.view.Primaries.Iterator()
	for !i.Done() {
		_, p, _ := i.Next()
		primaries = append(primaries, p)
	}
	m := t.newMessage(to, t.view.Members, primaries)
	m.Heartbeat.Full = true
	return m
}

func (t Table) digest() uint64 {
	return digestOf(t.fullMessage(rosemarylb.Member{}).Heartbeat)
}

// digestOf returns the digest of a complete state: the sum of the hashes of its
// records, which does not depend on their order. Dead instances are left out,
// since instances remove their tombstones at different times. The digest is
// never 0.
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
