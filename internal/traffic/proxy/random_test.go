package proxy

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

var (
	randomSeed  = flag.Uint64("random-seed", 1, "first seed of the random runs")
	randomCount = flag.Int("random-count", 150, "how many seeds to run")
)

// TestRandomRunsKeepThePromises has sessions that send ahead, endpoints that
// answer anything, connections that break, permits that lapse and primaries
// that change, and checks that each query is answered once, that a write which
// may have run is not sent again, and that nothing is left at the end.
func TestRandomRunsKeepThePromises(t *testing.T) {
	for seed := *randomSeed; seed < *randomSeed+uint64(*randomCount); seed++ {
		r := &run{
			bench:  newBench(t),
			rand:   rand.New(rand.NewPCG(seed, 3)),
			maybe:  map[string]bool{},
			asked:  map[rosemarylb.SessionID]int{},
			last:   map[rosemarylb.ConnectionID]rosemarylb.Query{},
			states: map[rosemarylb.ConnectionID]rosemarylb.TransactionState{},
		}
		r.play()
		if t.Failed() {
			t.Fatalf("seed %d; run again with -args -random-seed %d -random-count 1", seed, seed)
		}
	}
}

// run is one random run.
type run struct {
	*bench

	rand   *rand.Rand
	term   rosemarylb.Term
	number int
	maybe  map[string]bool
	asked  map[rosemarylb.SessionID]int
	last   map[rosemarylb.ConnectionID]rosemarylb.Query
	states map[rosemarylb.ConnectionID]rosemarylb.TransactionState
}

func (r *run) play() {
	r.p.relays = r.bench
	r.register(spec("e1", "r"), spec("e2", "r"), spec("e3", "far"))
	r.term = 1
	for id := rosemarylb.SessionID(4); id < 12; id++ {
		r.join(id, []string{"primary", "bounded", "session"}[id%3])
	}
	for range 1500 {
		r.step()
		r.pass(5 * time.Millisecond)
	}
	r.permit("e1", r.term+1, time.Hour)
	for range 400 {
		r.answerAll()
		r.pass(20 * time.Millisecond)
	}
	if r.p.jobs != 0 {
		r.t.Errorf("got %d queries under way at the end, want 0", r.p.jobs)
	}
	for id, n := range r.asked {
		if got := len(r.answers[id]); got != n {
			r.t.Errorf("session %d: got %d answers to %d queries", id, got, n)
		}
	}
}

// step is one random event.
func (r *run) step() {
	id := rosemarylb.SessionID(1 + r.rand.IntN(11))
	switch r.rand.IntN(12) {
	case 0, 1, 2, 3:
		r.query(id)
	case 4, 5, 6, 7, 8:
		r.answerOne()
	case 9:
		r.breakOne()
	case 10:
		leader := rosemarylb.EndpointID("e" + strconv.Itoa(1+r.rand.IntN(3)))
		if r.rand.IntN(6) == 0 {
			r.term++
			r.permit(leader, r.term, 500*time.Millisecond)
			return
		}
		r.permit(r.p.groups["g"].permit.Primary, r.term, 500*time.Millisecond)
	case 11:
		r.pass(time.Duration(r.rand.IntN(120)) * time.Millisecond)
	}
}

// query has a session send something, also before its last answer.
func (r *run) query(id rosemarylb.SessionID) {
	kinds := []rosemarylb.QueryKind{
		rosemarylb.QueryRead, rosemarylb.QueryWrite, rosemarylb.QueryBegin, rosemarylb.QueryBeginRead,
		rosemarylb.QueryCommit, rosemarylb.QueryRollback, rosemarylb.QuerySet, rosemarylb.QueryRead,
	}
	kind := kinds[r.rand.IntN(len(kinds))]
	r.number++
	r.asked[id]++
	r.handle(Asked{
		Session: id,
		Query: rosemarylb.Query{
			ID:     "q" + strconv.Itoa(r.number),
			Kind:   kind,
			Name:   "n",
			Value:  strconv.Itoa(r.rand.IntN(3)),
			Writes: kind == rosemarylb.QueryWrite,
		},
	})
	r.open()
}

// see checks what is sent: a single write or a commit that may have run is
// never sent again.
func (r *run) see(s sent) {
	id := s.query.ID
	lasts := s.query.Kind == rosemarylb.QueryCommit ||
		s.query.Kind == rosemarylb.QueryWrite && r.states[s.id] == rosemarylb.TransactionNone
	if id == "" || !lasts {
		return
	}
	if r.maybe[id] {
		r.t.Errorf("%s %s is sent again though it may have run", s.query.Kind, id)
	}
	r.maybe[id] = true
}

// answerOne answers the query that was sent first, with anything.
func (r *run) answerOne() {
	if len(r.sent) == 0 {
		return
	}
	s := r.take()
	if _, open := r.owners[s.id]; !open {
		r.see(s)
		return
	}
	r.see(s)
	codes := []rosemarylb.ReplyCode{
		rosemarylb.ReplyDone, rosemarylb.ReplyDone, rosemarylb.ReplyDone, rosemarylb.ReplyBusy,
		rosemarylb.ReplyBehind, rosemarylb.ReplyReadOnly, rosemarylb.ReplyFailed, rosemarylb.ReplyNoStatement,
	}
	code := codes[r.rand.IntN(len(codes))]
	if s.query.Kind == rosemarylb.QueryRollback || s.query.Kind == rosemarylb.QuerySet ||
		s.query.Kind == rosemarylb.QueryReset {
		code = rosemarylb.ReplyDone
	}
	if code.NotRun() {
		delete(r.maybe, s.query.ID)
	}
	r.respond(s, code)
}

// respond answers in the state that the connection is in.
func (r *run) respond(s sent, code rosemarylb.ReplyCode) {
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
	r.reply(s, code, state, position(r.term, rosemarylb.LSN(10+r.number)))
}

func (r *run) answerAll() {
	for len(r.sent) > 0 {
		s := r.take()
		r.see(s)
		if _, open := r.owners[s.id]; open {
			r.respond(s, rosemarylb.ReplyDone)
		}
	}
}

// breakOne breaks the connection of the query that was sent first.
func (r *run) breakOne() {
	if len(r.sent) == 0 {
		return
	}
	s := r.take()
	r.see(s)
	if _, open := r.owners[s.id]; open {
		delete(r.owners, s.id)
		r.lose(s)
	}
}
