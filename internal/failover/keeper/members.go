package keeper

import (
	"iter"
	"maps"
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

// member is the last report of an instance.
type member struct {
	reportedAt      time.Time
	process         uint32
	support         Support
	storeAnsweredAt time.Time
	address         string
	peer            rosemarylb.RelayPeer
	catalogVersion  uint64
	capacity        int
	observations    map[rosemarylb.DatabaseName]Observation
}

// observedPrimary is an endpoint in its role as the primary of a group.
type observedPrimary struct {
	group    rosemarylb.DatabaseName
	endpoint rosemarylb.EndpointID
}

// members is an immutable set of the instances that report to a keeper. The cost of
// one more report does not depend on the number of instances.
type members struct {
	byID *immutable.Map[string, member]
	// failing names the instances whose last report has a failure of a primary.
	failing *immutable.Map[string, struct{}]
	// answeredAt is when the last query was sent that a primary answered to any
	// instance.
	answeredAt map[observedPrimary]time.Time
}

// count returns the number of instances.
func (m members) count() int {
	if m.byID == nil {
		return 0
	}
	return m.byID.Len()
}

// get returns the last report of an instance, false if there is none.
func (m members) get(id rosemarylb.InstanceID) (member, bool) {
	if m.byID == nil {
		return member{}, false
	}
	return m.byID.Get(string(id))
}

// all iterates over the instances.
func (m members) all() iter.Seq2[rosemarylb.InstanceID, member] {
	return func(yield func(rosemarylb.InstanceID, member) bool) {
		if m.byID == nil {
			return
		}
		for i := m.byID.Iterator(); !i.Done(); {
			if id, reported, _ := i.Next(); !yield(rosemarylb.InstanceID(id), reported) {
				return
			}
		}
	}
}

// allFailing iterates over the instances whose last report has a failure of a
// primary.
func (m members) allFailing() iter.Seq2[rosemarylb.InstanceID, member] {
	return func(yield func(rosemarylb.InstanceID, member) bool) {
		if m.failing == nil {
			return
		}
		for i := m.failing.Iterator(); !i.Done(); {
			id, _, _ := i.Next()
			reported, _ := m.byID.Get(id)
			if !yield(rosemarylb.InstanceID(id), reported) {
				return
			}
		}
	}
}

// withReport stores a report that was received at the given time.
func (m members) withReport(r Report, now time.Time) members {
	if m.byID == nil {
		m.byID = immutable.NewMap[string, member](nil)
		m.failing = immutable.NewMap[string, struct{}](nil)
	}
	reported := member{
		reportedAt:      now,
		process:         r.Process,
		support:         r.Support,
		storeAnsweredAt: r.StoreAnsweredAt,
		address:         r.Address,
		peer:            r.Peer,
		catalogVersion:  r.CatalogVersion,
		capacity:        r.Capacity,
		observations:    make(map[rosemarylb.DatabaseName]Observation, len(r.Observations)),
	}
	answeredAt := maps.Clone(m.answeredAt)
	if answeredAt == nil {
		answeredAt = map[observedPrimary]time.Time{}
	}
	failing := false
	for _, o := range r.Observations {
		reported.observations[o.Group] = o
		failing = failing || !o.FirstFailureAt.IsZero()
		key := observedPrimary{
			group:    o.Group,
			endpoint: o.Primary,
		}
		if o.AnsweredAt.After(answeredAt[key]) {
			answeredAt[key] = o.AnsweredAt
		}
	}
	m.answeredAt = answeredAt
	m.byID = m.byID.Set(string(r.From), reported)
	switch _, was := m.failing.Get(string(r.From)); {
	case failing && !was:
		m.failing = m.failing.Set(string(r.From), struct{}{})
	case !failing && was:
		m.failing = m.failing.Delete(string(r.From))
	}
	return m
}

// withoutSilent removes the instances whose last report is older than memberTimeout,
// and the answers of primaries that are: a primary counts as silent far sooner.
func (m members) withoutSilent(now time.Time) members {
	for id, reported := range m.all() {
		if now.Sub(reported.reportedAt) > memberTimeout {
			m.byID = m.byID.Delete(string(id))
			m.failing = m.failing.Delete(string(id))
		}
	}
	answeredAt := make(map[observedPrimary]time.Time, len(m.answeredAt))
	for primary, at := range m.answeredAt {
		if now.Sub(at) <= memberTimeout {
			answeredAt[primary] = at
		}
	}
	m.answeredAt = answeredAt
	return m
}

// recentReports returns the number of instances whose report is recent.
func (m members) recentReports(now time.Time) int {
	n := 0
	for _, reported := range m.all() {
		if now.Sub(reported.reportedAt) <= reportMaxAge {
			n++
		}
	}
	return n
}
