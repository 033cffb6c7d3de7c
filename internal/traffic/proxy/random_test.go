package proxy

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/explanation"
)

var (
	randomSeed  = flag.Uint64("random-seed", 1, "first seed of the random runs")
	randomCount = flag.Int("random-count", 150, "number of seeds to run")
)

// TestRandomEventsPreserveInvariants applies random events: pipelined queries,
// arbitrary replies, also to setup steps, lost connections, expired permits and
// failovers. It checks that each query is answered exactly once, that a write which may
// have run is not sent again, that a statement runs in its transaction, and that no
// query is left at the end.
func TestRandomEventsPreserveInvariants(t *testing.T) {
	for seed := *randomSeed; seed < *randomSeed+uint64(*randomCount); seed++ {
		r := &randomRun{
			harness:     newHarness(t),
			rand:        rand.New(rand.NewPCG(seed, 3)),
			possiblyRun: map[string]bool{},
			queriesSent: map[rosemarylb.SessionID]int{},
			sessions:    map[string]rosemarylb.SessionID{},
			states:      map[rosemarylb.ConnectionID]rosemarylb.TransactionState{},
		}
		r.execute()
		if t.Failed() {
			t.Fatalf("seed %d; run again with -args -random-seed %d -random-count 1", seed, seed)
		}
	}
}

// randomRun is the state of one run.
type randomRun struct {
	*harness

	rand        *rand.Rand
	term        rosemarylb.Term
	queryNumber int
	possiblyRun map[string]bool
	queriesSent map[rosemarylb.SessionID]int
	sessions    map[string]rosemarylb.SessionID
	states      map[rosemarylb.ConnectionID]rosemarylb.TransactionState
}

func (r *randomRun) execute() {
	r.proxy.relayPort = r.harness
	r.register(spec("e1", "r"), spec("e2", "r"), spec("e3", "far"))
	r.term = 1
	for id := rosemarylb.SessionID(4); id < 12; id++ {
		r.join(id, []string{"primary", "bounded", "session"}[id%3])
	}
	for step := range 1500 {
		r.randomEvent()
		r.advance(5 * time.Millisecond)
		if step%20 == 0 {
			r.explainAll()
		}
	}
	r.permit("e1", r.term+1, time.Hour)
	for range 400 {
		r.answerAll()
		r.advance(20 * time.Millisecond)
	}
	if r.proxy.inFlight != 0 {
		r.t.Errorf("got %d queries in flight at the end, want 0", r.proxy.inFlight)
	}
	for id, n := range r.queriesSent {
		if got := len(r.answers[id]); got != n {
			r.t.Errorf("session %d: got %d answers to %d queries", id, got, n)
		}
	}
}

// explainAll checks in a random state that explanations change nothing.
func (r *randomRun) explainAll() {
	for _, database := range []string{"primary", "bounded", "session"} {
		for _, kind := range []explanation.Kind{explanation.KindRead, explanation.KindBegin} {
			r.explain(explanation.Request{
				Database: database,
				Kind:     kind,
			})
		}
	}
}

// randomEvent applies one random event.
func (r *randomRun) randomEvent() {
	id := rosemarylb.SessionID(1 + r.rand.IntN(11))
	switch r.rand.IntN(12) {
	case 0, 1, 2, 3:
		r.sendQuery(id)
	case 4, 5, 6, 7, 8:
		r.answerNext()
	case 9:
		r.breakNextConnection()
	case 10:
		leader := rosemarylb.EndpointID("e" + strconv.Itoa(1+r.rand.IntN(3)))
		if r.rand.IntN(6) == 0 {
			r.term++
			r.permit(leader, r.term, 500*time.Millisecond)
			return
		}
		r.permit(r.proxy.groups["g"].permit.Primary, r.term, 500*time.Millisecond)
	case 11:
		r.advance(time.Duration(r.rand.IntN(120)) * time.Millisecond)
	}
}

// sendQuery sends a random query of a session, which may still await replies.
func (r *randomRun) sendQuery(id rosemarylb.SessionID) {
	kinds := []rosemarylb.QueryKind{
		rosemarylb.QueryRead, rosemarylb.QueryWrite, rosemarylb.QueryBegin, rosemarylb.QueryBeginRead,
		rosemarylb.QueryCommit, rosemarylb.QueryRollback, rosemarylb.QuerySet, rosemarylb.QueryRead,
		rosemarylb.QueryPrepare, rosemarylb.QueryExecute, rosemarylb.QueryExecute,
	}
	kind := kinds[r.rand.IntN(len(kinds))]
	r.queryNumber++
	r.queriesSent[id]++
	q := rosemarylb.Query{
		ID:     "q" + strconv.Itoa(r.queryNumber),
		Kind:   kind,
		Name:   "n",
		Value:  strconv.Itoa(r.rand.IntN(3)),
		Writes: kind == rosemarylb.QueryWrite || kind == rosemarylb.QueryPrepare && r.rand.IntN(2) == 0,
	}
	r.sessions[q.ID] = id
	r.handle(QueryReceived{
		Session: id,
		Query:   q,
	})
	r.openConnections()
}

// checkNotRepeated checks that a single write or a commit that may have run is
// not sent again.
func (r *randomRun) checkNotRepeated(s sent) {
	id := s.query.ID
	mayCommit := s.query.Kind == rosemarylb.QueryCommit ||
		s.query.Writes && r.states[s.id] == rosemarylb.TransactionNone
	if id == "" || !mayCommit {
		return
	}
	if r.possiblyRun[id] {
		r.t.Errorf("%s %s was sent again although it may have run", s.query.Kind, id)
	}
	r.possiblyRun[id] = true
}

// checkTransaction checks that an endpoint runs a statement inside a transaction if its
// caller sent it inside one, and outside of any otherwise.
func (r *randomRun) checkTransaction(s sent) {
	id, known := r.sessions[s.query.ID]
	if !known {
		return
	}
	state := rosemarylb.TransactionNone
	if answer, answered := r.last(id); answered {
		state = answer.State
	}
	if got := r.states[s.id]; got != state {
		r.t.Errorf("%s %s ran on a connection in state %s, want %s", s.query.Kind, s.query.ID, got, state)
	}
}

// answerNext answers the oldest sent query with a random code.
func (r *randomRun) answerNext() {
	if len(r.sent) == 0 {
		return
	}
	s := r.nextSent()
	if _, open := r.owners[s.id]; !open {
		r.checkNotRepeated(s)
		return
	}
	r.checkNotRepeated(s)
	r.checkTransaction(s)
	codes := []rosemarylb.ReplyCode{
		rosemarylb.ReplyDone, rosemarylb.ReplyDone, rosemarylb.ReplyDone, rosemarylb.ReplyBusy,
		rosemarylb.ReplyReplicaLagging, rosemarylb.ReplyReadOnly, rosemarylb.ReplyFailed, rosemarylb.ReplyNoStatement,
	}
	code := codes[r.rand.IntN(len(codes))]
	if s.query.Kind == rosemarylb.QueryRollback || isSetup(s.query) && r.rand.IntN(4) != 0 {
		code = rosemarylb.ReplyDone
	}
	if code.NotRun() {
		delete(r.possiblyRun, s.query.ID)
	}
	r.respond(s, code)
}

// isSetup reports whether a query brings a connection to the state that another needs.
func isSetup(q rosemarylb.Query) bool {
	return q.Kind == rosemarylb.QuerySet || q.Kind == rosemarylb.QueryReset || q.Kind == rosemarylb.QueryPrepare
}

// respond answers a query with the resulting transaction state of its
// connection.
func (r *randomRun) respond(s sent, code rosemarylb.ReplyCode) {
	state := r.states[s.id]
	switch {
	case s.query.Kind == rosemarylb.QueryRollback, s.query.Kind == rosemarylb.QueryCommit:
		state = rosemarylb.TransactionNone
	case code != rosemarylb.ReplyDone && state == rosemarylb.TransactionOpen:
		state = rosemarylb.TransactionFailed
	case code == rosemarylb.ReplyDone &&
		(s.query.Kind == rosemarylb.QueryBegin || s.query.Kind == rosemarylb.QueryBeginRead):
		state = rosemarylb.TransactionOpen
	}
	r.states[s.id] = state
	r.reply(s, code, state, position(r.term, rosemarylb.LSN(10+r.queryNumber)))
}

func (r *randomRun) answerAll() {
	for len(r.sent) > 0 {
		s := r.nextSent()
		r.checkNotRepeated(s)
		if _, open := r.owners[s.id]; open {
			r.checkTransaction(s)
			r.respond(s, rosemarylb.ReplyDone)
		}
	}
}

// breakNextConnection breaks the connection of the oldest sent query.
func (r *randomRun) breakNextConnection() {
	if len(r.sent) == 0 {
		return
	}
	s := r.nextSent()
	r.checkNotRepeated(s)
	if _, open := r.owners[s.id]; open {
		delete(r.owners, s.id)
		r.loseConnection(s)
	}
}
