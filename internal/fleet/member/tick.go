package member

import (
	"slices"
	"time"

	"rosemarylb"
)

// WithTick advances the table to the current time and returns the messages that
// are due.
func (t Table) WithTick(now time.Time) (Table, []Message) {
	t, messages := t.declareDead(now)
	if !now.Before(t.nextHeartbeatAt) {
		t.nextHeartbeatAt = now.Add(HeartbeatInterval)
		messages = append(messages, t.gossip(nil, nil, "")...)
	}
	if !now.Before(t.nextDigestAt) {
		t.nextDigestAt = now.Add(digestInterval)
		messages = append(messages, t.digestMessages()...)
	}
	if !now.Before(t.nextReconnectAt) {
		t.nextReconnectAt = now.Add(reconnectInterval)
		messages = append(messages, t.reconnectMessages()...)
	}
	return t.withoutExpiredTombstone(now), messages
}

// Next returns the time at which WithTick must be called next. Before the first
// tick, that is a time in the past.
func (t Table) Next() time.Time {
	next := t.nextHeartbeatAt
	if next.IsZero() {
		return time.Unix(0, 1)
	}
	for _, w := range t.monitored {
		if w.deadline.Before(next) {
			next = w.deadline
		}
	}
	return next
}

// declareDead declares the monitored instances dead whose deadlines have passed,
// and returns the messages that announce it, also to the instances themselves so
// that they can refute it. An instance that refutes still reaches others, so
// each missed deadline doubles the timeout until its next heartbeat.
func (t Table) declareDead(now time.Time) (Table, []Message) {
	var messages []Message
	for _, w := range slices.Clone(t.monitored) {
		if now.Before(w.deadline) {
			continue
		}
		t = t.withTimeoutDoubled(w, now)
		m, found := t.view.Member(w.id)
		if !found || m.Status == rosemarylb.MemberDead {
			continue
		}
		m = m.WithStatus(rosemarylb.MemberDead)
		t = t.withMember(m, now)
		messages = append(messages, t.gossip([]rosemarylb.Member{m}, nil, "")...)
		messages = append(messages, t.newMessage(m, []rosemarylb.Member{m}, nil))
	}
	return t, messages
}

func (t Table) withTimeoutDoubled(w monitoredMember, now time.Time) Table {
	list := slices.Clone(t.monitored)
	for i := range list {
		if list[i].id == w.id {
			timeout := min(heartbeatTimeout<<min(w.missedDeadlines+1, 5), heartbeatTimeoutLimit)
			list[i].missedDeadlines++
			list[i].deadline = now.Add(timeout)
		}
	}
	t.monitored = list
	return t
}

// digestMessages returns a message with the digest of the state to a random live
// instance, which responds with its complete state if its digest differs.
func (t Table) digestMessages() []Message {
	to, found := t.randomMember(func(m rosemarylb.Member) bool {
		return m.Status != rosemarylb.MemberDead
	}, t.view.Members)
	if !found {
		return nil
	}
	m := t.newMessage(to, nil, nil)
	m.Heartbeat.Digest = t.digest()
	return []Message{m}
}

// reconnectMessages returns a message with the complete state to a random
// instance that is dead, or that the platform lists but is not a member. It
// reconnects the fleet after a network partition.
func (t Table) reconnectMessages() []Message {
	candidates := slices.Clone(t.view.Members)
	for _, s := range t.platformInstances {
		if _, known := t.view.Member(s.ID); !known {
			candidates = append(candidates, s)
		}
	}
	to, found := t.randomMember(func(m rosemarylb.Member) bool {
		_, known := t.view.Member(m.ID)
		return !known || m.Status == rosemarylb.MemberDead
	}, candidates)
	if !found {
		return nil
	}
	return []Message{t.fullMessage(to)}
}

// randomMember returns a random suitable member other than the local instance,
// and false if there is none.
func (t Table) randomMember(
	suitable func(rosemarylb.Member) bool, from []rosemarylb.Member,
) (rosemarylb.Member, bool) {
	var candidates []rosemarylb.Member
	for _, m := range from {
		if m.ID != t.view.Self.ID && suitable(m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return rosemarylb.Member{}, false
	}
	return candidates[t.random.IntN(len(candidates))], true
}

// withoutExpiredTombstone removes the oldest tombstone if it has expired, and its
// instance from the members if that is still dead.
func (t Table) withoutExpiredTombstone(now time.Time) Table {
	if len(t.tombstones) == 0 || now.Before(t.tombstones[0].expiresAt) {
		return t
	}
	id := t.tombstones[0].id
	t.tombstones = t.tombstones[1:]
	if m, found := t.view.Member(id); found && m.Status == rosemarylb.MemberDead {
		t.view = t.view.WithMembers(slices.DeleteFunc(slices.Clone(t.view.Members), func(m rosemarylb.Member) bool {
			return m.ID == id
		}))
	}
	return t
}
