package member

import (
	"slices"
	"time"

	"rosemarylb"
)

// WithTick returns the table at a later time, and the heartbeats that are due.
func (t Table) WithTick(now time.Time) (Table, []Message) {
	t, messages := t.accuse(now)
	if !now.Before(t.heartbeatAt) {
		t.heartbeatAt = now.Add(HeartbeatInterval)
		messages = append(messages, t.tell(nil, nil, "")...)
	}
	if !now.Before(t.compareAt) {
		t.compareAt = now.Add(compareInterval)
		messages = append(messages, t.compare()...)
	}
	if !now.Before(t.contactAt) {
		t.contactAt = now.Add(contactInterval)
		messages = append(messages, t.contact()...)
	}
	return t.forget(now), messages
}

// Next returns the deadline of the next tick, a moment long past before the
// first one.
func (t Table) Next() time.Time {
	next := t.heartbeatAt
	if next.IsZero() {
		return time.Unix(0, 1)
	}
	for _, w := range t.watched {
		if w.deadline.Before(next) {
			next = w.deadline
		}
	}
	return next
}

// accuse declares the neighbours dead whose heartbeats are overdue. One that
// refutes is heard by others: this instance then waits twice as long.
func (t Table) accuse(now time.Time) (Table, []Message) {
	var messages []Message
	for _, w := range slices.Clone(t.watched) {
		if now.Before(w.deadline) {
			continue
		}
		t = t.patient(w, now)
		m, found := t.view.Member(w.id)
		if !found || m.Status == rosemarylb.MemberDead {
			continue
		}
		m = m.WithStatus(rosemarylb.MemberDead)
		t = t.withMember(m, now)
		messages = append(messages, t.tell([]rosemarylb.Member{m}, nil, "")...)
		messages = append(messages, t.message(m, []rosemarylb.Member{m}, nil))
	}
	return t, messages
}

func (t Table) patient(w watched, now time.Time) Table {
	list := slices.Clone(t.watched)
	for i := range list {
		if list[i].id == w.id {
			grace := min(deadAfter<<min(w.silences+1, 5), graceLimit)
			list[i].silences++
			list[i].deadline = now.Add(grace)
		}
	}
	t.watched = list
	return t
}

// compare sends a digest of everything known to one live instance.
func (t Table) compare() []Message {
	to, found := t.pick(func(m rosemarylb.Member) bool {
		return m.Status != rosemarylb.MemberDead
	}, t.view.Members)
	if !found {
		return nil
	}
	m := t.message(to, nil, nil)
	m.Heartbeat.Digest = t.digest()
	return []Message{m}
}

// contact sends everything known to one instance that is not heard: dead, or
// listed by the platform and never met. It heals a partition.
func (t Table) contact() []Message {
	candidates := slices.Clone(t.view.Members)
	for _, s := range t.seeds {
		if _, known := t.view.Member(s.ID); !known {
			candidates = append(candidates, s)
		}
	}
	to, found := t.pick(func(m rosemarylb.Member) bool {
		_, known := t.view.Member(m.ID)
		return !known || m.Status == rosemarylb.MemberDead
	}, candidates)
	if !found {
		return nil
	}
	return []Message{t.full(to)}
}

func (t Table) pick(
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

// forget drops the instances that have been dead for long.
func (t Table) forget(now time.Time) Table {
	if len(t.dead) == 0 || now.Before(t.dead[0].forgetAt) {
		return t
	}
	id := t.dead[0].id
	t.dead = t.dead[1:]
	if m, found := t.view.Member(id); found && m.Status == rosemarylb.MemberDead {
		t.view = t.view.WithMembers(slices.DeleteFunc(slices.Clone(t.view.Members), func(m rosemarylb.Member) bool {
			return m.ID == id
		}))
	}
	return t
}
