package keeper

import (
	"maps"
	"time"

	"rosemarylb"
)

const (
	// probeInterval is the time between two questions to a healthy primary.
	probeInterval = 400 * time.Millisecond
	// suspectInterval is that to a primary that may be dead, and to all
	// endpoints of a group whose primary is moved.
	suspectInterval = 100 * time.Millisecond
	// suspectAfter is how long no query was answered before the questions
	// come faster.
	suspectAfter = 250 * time.Millisecond
	// pauseAfter is how long a primary is silent before its permits stop, so
	// that they have run out when it is taken for dead.
	pauseAfter = 400 * time.Millisecond
	// deadAfter is how long a primary that answers nobody is waited for.
	deadAfter = 900 * time.Millisecond
	// refusedAfter is that for one that refuses connections or breaks them.
	refusedAfter = 250 * time.Millisecond
	// deadProbes is how many questions in a row a dead primary left unanswered.
	deadProbes = 2
	// pauseProbes is that of one whose permits stop.
	pauseProbes = 1
	// reportSpan is how recent an instance's report has to be to count.
	reportSpan = 800 * time.Millisecond
	// missingAfter is how long an endpoint may be missing from the list.
	missingAfter = 500 * time.Millisecond
)

// state is what is known of one endpoint from its own answers.
type state struct {
	probeAt  time.Time
	askedAt  time.Time
	primary  bool
	term     rosemarylb.Term
	position rosemarylb.Position
	failures int
	refused  int
}

// leads reports whether the endpoint said that it leads in a term.
func (s state) leads(t rosemarylb.Term) bool {
	return s.primary && s.term == t
}

// watch is what the keeper knows of one group.
type watch struct {
	states    map[rosemarylb.EndpointID]state
	since     time.Time
	aliveAt   time.Time
	missingAt time.Time
	wanted    Leadership
	move      move
}

func (w watch) moving() bool {
	return !w.move.startedAt.IsZero()
}

func (w watch) withState(id rosemarylb.EndpointID, s state) watch {
	w.states = maps.Clone(w.states)
	if w.states == nil {
		w.states = map[rosemarylb.EndpointID]state{}
	}
	w.states[id] = s
	return w
}

func (k Keeper) withWatch(name rosemarylb.DatabaseName, w watch) Keeper {
	k.watches = maps.Clone(k.watches)
	if k.watches == nil {
		k.watches = map[rosemarylb.DatabaseName]watch{}
	}
	k.watches[name] = w
	return k
}

// Status is an endpoint's answer to the keeper, or its failure to answer.
type Status struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Endpoint is the endpoint that was asked.
	Endpoint rosemarylb.EndpointID
	// AskedAt is when the question was sent.
	AskedAt time.Time
	// Answered is false when no answer came.
	Answered bool
	// Refused is true when the endpoint refused or broke the connection.
	Refused bool
	// Busy is true when it answered that it was too busy to tell.
	Busy bool
	// Primary is true when it says that it leads.
	Primary bool
	// Term is its term.
	Term rosemarylb.Term
	// Received is the last entry that its log holds.
	Received rosemarylb.Position
}

// WithStatus returns the keeper told of an endpoint's state.
func (k Keeper) WithStatus(a Status) Keeper {
	if !k.leading {
		return k
	}
	w := k.watches[a.Group]
	s := w.states[a.Endpoint]
	switch {
	case !a.Answered:
		s.failures++
		if a.Refused {
			s.refused++
		}
	case a.Busy:
		s.failures = 0
		s.refused = 0
	default:
		s = state{
			probeAt:  s.probeAt,
			askedAt:  a.AskedAt,
			primary:  a.Primary,
			term:     a.Term,
			position: a.Received,
		}
	}
	l := k.leadership(a.Group)
	if a.Answered && a.Endpoint == l.Primary && a.AskedAt.After(w.aliveAt) {
		w.aliveAt = a.AskedAt
	}
	return k.withWatch(a.Group, w.withState(a.Endpoint, s))
}

// aliveAt is when the primary last answered anybody.
func (k Keeper) aliveAt(name rosemarylb.DatabaseName, l Leadership) time.Time {
	w := k.watches[name]
	at := w.aliveAt
	if w.since.After(at) {
		at = w.since
	}
	for _, m := range k.members {
		e := m.seen[name]
		if e.Primary == l.Primary && e.AnsweredAt.After(at) {
			at = e.AnsweredAt
		}
	}
	return at
}

// recent counts the instances that told lately what they see.
func (k Keeper) recent(now time.Time) int {
	n := 0
	for _, m := range k.members {
		if now.Sub(m.at) <= reportSpan {
			n++
		}
	}
	return n
}

// heard reports whether enough instances told lately what they see: an
// instance that is alone cut off moves nothing.
func (k Keeper) heard(now time.Time) bool {
	recent := k.recent(now)
	return recent*2 >= len(k.members) && recent > 0
}

// unreachable reports whether most instances fail to reach the primary. Those
// that have not tried count for it: a few failures on a quiet database are no
// reason to move it.
func (k Keeper) unreachable(name rosemarylb.DatabaseName, l Leadership, now time.Time) bool {
	failing := 0
	for _, m := range k.members {
		e := m.seen[name]
		lately := e.Primary == l.Primary && now.Sub(m.at) <= reportSpan
		if lately && !e.FailingAt.IsZero() && now.Sub(e.FailingAt) > deadAfter {
			failing++
		}
	}
	return failing*2 > k.recent(now)
}

// verdict returns why a group's primary has to be replaced, empty if it need
// not be.
func (k Keeper) verdict(name rosemarylb.DatabaseName, l Leadership, now time.Time) string {
	w := k.watches[name]
	s := w.states[l.Primary]
	spec, listed := k.endpoint(name, l.Primary)
	silent := now.Sub(k.aliveAt(name, l))
	switch {
	case !listed && !w.missingAt.IsZero() && now.Sub(w.missingAt) > missingAfter:
		return "gone"
	case spec.Leaving && k.replaceable(name, l):
		return "leaving"
	case s.askedAt.After(w.since) && !s.primary:
		return "demoted"
	case !k.heard(now):
		return ""
	case s.refused >= deadProbes && silent > refusedAfter:
		return "refused"
	case s.failures >= pauseProbes && silent > pauseAfter:
		return reasonSilent
	}
	if k.unreachable(name, l, now) {
		return "unreachable for most"
	}
	return ""
}

// dead reports whether a primary whose permits stopped for its silence is
// taken for dead.
func (k Keeper) dead(name rosemarylb.DatabaseName, l Leadership, now time.Time) bool {
	s := k.watches[name].states[l.Primary]
	return s.failures >= deadProbes && now.Sub(k.aliveAt(name, l)) > deadAfter && k.heard(now)
}

// replaceable reports whether some other endpoint of the group stays.
func (k Keeper) replaceable(name rosemarylb.DatabaseName, l Leadership) bool {
	for _, e := range k.endpoints[name] {
		if e.ID != l.Primary && !e.Leaving {
			return true
		}
	}
	return false
}

func (k Keeper) endpoint(name rosemarylb.DatabaseName, id rosemarylb.EndpointID) (rosemarylb.EndpointSpec, bool) {
	for _, e := range k.endpoints[name] {
		if e.ID == id {
			return e, true
		}
	}
	return rosemarylb.EndpointSpec{}, false
}

// ask orders a question to an endpoint when it is due.
func (w watch) ask(
	d Decision, e rosemarylb.EndpointSpec, every time.Duration, now time.Time,
) (watch, Decision) {
	s := w.states[e.ID]
	if now.Before(s.probeAt) {
		return w, d
	}
	s.probeAt = now.Add(every)
	d.Orders = append(d.Orders, Order{
		Endpoint: e,
		Query: rosemarylb.Query{
			Kind: rosemarylb.QueryStatus,
		},
	})
	return w.withState(e.ID, s), d
}
