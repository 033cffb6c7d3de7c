package keeper

import (
	"time"

	"rosemarylb"
)

const (
	// promotionRetry is the wait before a promotion without an answer is
	// ordered again.
	promotionRetry = 100 * time.Millisecond
	// promotionSpan is how long a promoted endpoint may take to lead.
	promotionSpan = 3 * time.Second
	// catchUpSpan is how long the chosen replica may take to receive what a
	// primary that stepped down holds.
	catchUpSpan = 1500 * time.Millisecond
	// stepDownSpan is how long a primary may take to step down.
	stepDownSpan = 600 * time.Millisecond
	// discoverSpan is how long a group without a known primary is looked at
	// before one of its endpoints is promoted.
	discoverSpan = 3 * time.Second
	// freshSpan is how recent an endpoint's answer has to be to choose it.
	freshSpan = 500 * time.Millisecond
)

// Reasons of moves that later decisions depend on.
const (
	reasonSilent    = "silent"
	reasonDemoted   = "demoted"
	reasonInherited = "left by the former keeper"
)

// move is a change of primary under way.
type move struct {
	startedAt  time.Time
	reason     string
	old        Leadership
	ackedAt    time.Time
	downAt     time.Time
	candidate  rosemarylb.EndpointID
	refused    rosemarylb.EndpointID
	ordered    rosemarylb.EndpointID
	orderedAt  time.Time
	calling    bool
	acceptedAt time.Time
	retryAt    time.Time
}

// settled reports whether no order to promote another endpoint than the one
// that leads may take effect any more.
func (m move) settled(leads rosemarylb.EndpointID, now time.Time) bool {
	if m.ordered == "" || m.ordered == leads || m.ordered == m.refused && !m.calling {
		return true
	}
	return now.Sub(m.orderedAt) > PromotionTimeout+promotionSpan
}

// decideGroup decides on one group.
func (k Keeper) decideGroup(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	w := k.watches[name]
	if w.since.IsZero() {
		w.since = now
	}
	l := k.leadership(name)
	if _, listed := k.endpoint(name, l.Primary); listed {
		w.missingAt = time.Time{}
	} else if w.missingAt.IsZero() {
		w.missingAt = now
	}
	k = k.withWatch(name, w)
	switch {
	case w.moving():
		return k.decideMove(name, d, now)
	case l.Moving:
		return k.startMove(name, l, reasonInherited, now), d
	case l.Primary == "":
		return k.discover(name, d, now)
	}
	if reason := k.verdict(name, l, now); reason != "" {
		return k.startMove(name, l, reason, now), d
	}
	every := probeInterval
	if now.Sub(k.aliveAt(name, l)) > suspectAfter {
		every = suspectInterval
	}
	if e, listed := k.endpoint(name, l.Primary); listed {
		w, d = w.ask(d, e, every, now)
		k = k.withWatch(name, w)
	}
	return k, d
}

// discover looks for the primary of a group that the record does not name.
func (k Keeper) discover(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	w := k.watches[name]
	answered := 0
	for _, e := range k.endpoints[name] {
		w, d = w.ask(d, e, suspectInterval, now)
		s := w.states[e.ID]
		if s.askedAt.IsZero() {
			continue
		}
		answered++
		if s.primary && s.term > w.wanted.Term {
			w.wanted = Leadership{
				Primary: e.ID,
				Term:    s.term,
			}
			k = k.withNote(Note{
				Event:    "primary found",
				Group:    name,
				Endpoint: e.ID,
				Term:     s.term,
			})
		}
	}
	k = k.withWatch(name, w)
	if w.wanted.Primary == "" && answered > 0 && now.Sub(w.since) > discoverSpan {
		return k.startMove(name, Leadership{}, "no endpoint leads", now), d
	}
	return k, d
}

// startMove stops the permits of a group and has the record say so.
func (k Keeper) startMove(name rosemarylb.DatabaseName, l Leadership, reason string, now time.Time) Keeper {
	w := k.watches[name]
	age := now.Sub(k.aliveAt(name, l)).Milliseconds()
	w.move = move{
		startedAt: now,
		reason:    reason,
		old:       l,
	}
	if l.Moving {
		// The record has said so since before this keeper took the lease.
		w.move.ackedAt = now
	}
	w.wanted = l
	w.wanted.Moving = true
	k = k.withNote(Note{
		Event:     "move started",
		Group:     name,
		Endpoint:  l.Primary,
		Term:      l.Term,
		Reason:    reason,
		AgeMillis: age,
	})
	return k.withWatch(name, w)
}

// decideMove goes on with a change of primary.
func (k Keeper) decideMove(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	w := k.watches[name]
	for _, e := range k.endpoints[name] {
		w, d = w.ask(d, e, suspectInterval, now)
	}
	k = k.withWatch(name, w)
	expired := !w.move.ackedAt.IsZero() && !now.Before(w.move.ackedAt.Add(PermitSpan))
	if id, term, found := w.successor(); found {
		if !expired || !w.move.settled(id, now) {
			return k, d
		}
		return k.endMove(name, id, term, now), d
	}
	if k.recovered(name, now) {
		return k.endMove(name, w.move.old.Primary, w.move.old.Term, now), d
	}
	if w.move.ackedAt.IsZero() {
		return k, d
	}
	if !w.move.acceptedAt.IsZero() {
		if now.Sub(w.move.acceptedAt) > promotionSpan {
			w.move.acceptedAt = time.Time{}
			w.move.candidate = ""
			k = k.withWatch(name, w)
		}
		return k, d
	}
	if w.move.calling {
		return k, d
	}
	var settled bool
	k, d, settled = k.stepDown(name, d, now)
	if !settled || !expired && !w.follows() {
		return k, d
	}
	if w.move.reason == reasonSilent && !w.follows() && !k.dead(name, w.move.old, now) {
		return k, d
	}
	return k.promote(name, d, now)
}

// follows reports whether the old primary has said, after it was told to step
// down, that it leads no more: it commits nothing then.
func (w watch) follows() bool {
	s := w.states[w.move.old.Primary]
	return !w.move.downAt.IsZero() && s.askedAt.After(w.move.downAt) && !s.primary
}

// successor returns the endpoint that leads in a later term than the one that
// is left.
func (w watch) successor() (rosemarylb.EndpointID, rosemarylb.Term, bool) {
	var found rosemarylb.EndpointID
	term := w.move.old.Term
	for id, s := range w.states {
		if s.primary && s.term > term && s.askedAt.After(w.move.startedAt) {
			found, term = id, s.term
		}
	}
	return found, term, found != ""
}

// recovered reports whether the old primary leads again before anybody else
// was asked to, and need not be replaced.
func (k Keeper) recovered(name rosemarylb.DatabaseName, now time.Time) bool {
	w := k.watches[name]
	old := w.move.old
	s := w.states[old.Primary]
	if w.move.ordered != "" || !w.move.downAt.IsZero() || w.move.reason == reasonInherited {
		return false
	}
	spec, listed := k.endpoint(name, old.Primary)
	if w.move.reason == reasonSilent && listed && !spec.Leaving && k.aliveAt(name, old).After(w.move.startedAt) {
		return true
	}
	if !listed || spec.Leaving || !s.leads(old.Term) || !s.askedAt.After(w.move.startedAt) {
		return false
	}
	return !k.unreachable(name, old, now)
}

// endMove names the primary that stands.
func (k Keeper) endMove(name rosemarylb.DatabaseName, id rosemarylb.EndpointID, t rosemarylb.Term, now time.Time) Keeper {
	w := k.watches[name]
	k = k.withNote(Note{
		Event:     "move ended",
		Group:     name,
		Endpoint:  id,
		Term:      t,
		Reason:    w.move.reason,
		AgeMillis: now.Sub(w.move.startedAt).Milliseconds(),
	})
	w.move = move{}
	w.since = now
	w.wanted = Leadership{
		Primary: id,
		Term:    t,
	}
	return k.withWatch(name, w)
}

// stepDown ends the old primary's reign where it answers. It is settled when
// the old primary follows or keeps silent.
func (k Keeper) stepDown(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision, bool) {
	w := k.watches[name]
	old := w.move.old
	s := w.states[old.Primary]
	spec, listed := k.endpoint(name, old.Primary)
	answers := listed && s.askedAt.After(w.move.startedAt) && s.failures == 0
	if !answers && listed && w.move.reason != reasonSilent && now.Sub(w.move.startedAt) < stepDownSpan {
		return k, d, false
	}
	if !answers || !s.leads(old.Term) {
		return k, d, true
	}
	if !k.replaceable(name, old) {
		return k, d, false
	}
	if w.move.downAt.IsZero() {
		w.move.downAt = now
		d.Orders = append(d.Orders, Order{
			Endpoint: spec,
			Query: rosemarylb.Query{
				Kind: rosemarylb.QueryStepDown,
				Term: old.Term + 1,
			},
		})
		return k.withWatch(name, w), d, false
	}
	return k, d, now.Sub(w.move.downAt) > stepDownSpan
}

// promote chooses an endpoint and orders its promotion.
func (k Keeper) promote(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	w := k.watches[name]
	if now.Before(k.promoteFrom) || now.Before(w.move.retryAt) {
		return k, d
	}
	if !now.Add(PromotionTimeout).Before(k.leaseUntil) {
		return k, d
	}
	if w.move.candidate == "" {
		chosen, found := k.candidate(name, now)
		if !found {
			return k, d
		}
		w.move.candidate = chosen
	}
	w.move.orderedAt = now
	w.move.ordered = w.move.candidate
	w.move.calling = true
	w.move.retryAt = time.Time{}
	d.Promotions = append(d.Promotions, rosemarylb.Promotion{
		Group:    name,
		Endpoint: w.move.candidate,
		Holder:   k.self,
		Token:    k.record.Token,
	})
	k = k.withNote(Note{
		Event:     "promotion ordered",
		Group:     name,
		Endpoint:  w.move.candidate,
		Term:      w.move.old.Term,
		Reason:    w.move.reason,
		AgeMillis: now.Sub(w.move.startedAt).Milliseconds(),
	})
	return k.withWatch(name, w), d
}

// candidate returns the endpoint that received most. While the old primary
// follows, it waits for one that has received all that it holds.
func (k Keeper) candidate(name rosemarylb.DatabaseName, now time.Time) (rosemarylb.EndpointID, bool) {
	w := k.watches[name]
	old := w.states[w.move.old.Primary]
	var best rosemarylb.EndpointID
	var most rosemarylb.Position
	for _, e := range k.endpoints[name] {
		s := w.states[e.ID]
		fresh := s.askedAt.After(w.move.startedAt) && now.Sub(s.askedAt) < freshSpan
		if !fresh || e.Leaving || e.ID == w.move.refused {
			continue
		}
		if e.ID == w.move.old.Primary && w.move.reason != reasonDemoted {
			continue
		}
		if best == "" || most.Less(s.position) {
			best, most = e.ID, s.position
		}
	}
	if best == "" {
		return "", false
	}
	knowsOld := old.askedAt.After(w.move.startedAt)
	waits := knowsOld && most.Less(old.position) && now.Sub(w.move.ackedAt) < catchUpSpan
	return best, !waits
}
