package keeping

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/permit"
)

var (
	modelSeed  = flag.Uint64("model-seed", 1, "first seed of the model's runs")
	modelCount = flag.Int("model-count", 20, "how many seeds to run")
)

const (
	modelStep    = 20 * time.Millisecond
	modelSpan    = 45 * time.Second
	modelGroup   = rosemarylb.DatabaseName("g")
	modelMembers = 5
)

// TestNoCommitAtAReplacedPrimaryAndNoStaleRead plays keepers, instances, a
// store and endpoints under random faults: pauses, kills, cuts, lost and late
// answers, outages of the store. Commits and reads go wherever an instance
// holds a permit to.
func TestNoCommitAtAReplacedPrimaryAndNoStaleRead(t *testing.T) {
	moves, commits, takeovers := 0, 0, 0
	for seed := *modelSeed; seed < *modelSeed+uint64(*modelCount); seed++ {
		w := newWorld(seed)
		w.play()
		if len(w.broken) > 0 {
			t.Fatalf("seed %d: %v\n%s\nrun again with -args -model-seed %d -model-count 1", seed, w.broken[0],
				strings.Join(w.events, "\n"), seed)
		}
		moves += w.moves
		commits += w.commits
		takeovers += len(w.tokens)
	}
	if moves < *modelCount/4 || commits < 50**modelCount || takeovers < *modelCount {
		t.Errorf("got %d moves, %d commits and %d holders in %d runs, want a model that is at work",
			moves, commits, takeovers, *modelCount)
	}
}

// world is the model's state.
type world struct {
	rand     *rand.Rand
	now      time.Time
	nodes    []*node
	servers  []*server
	record   keeper.Record
	revision uint64
	storeOut time.Time
	later    []delayed
	acked    map[int]bool
	next     int
	highest  uint64
	tokens   map[uint64]rosemarylb.InstanceID
	moves    int
	commits  int
	broken   []string
	events   []string
}

// delayed is something that happens at a time.
type delayed struct {
	at time.Time
	do func()
}

// node is one instance.
type node struct {
	id       rosemarylb.InstanceID
	process  uint64
	keeper   keeper.Keeper
	witness  *Witness
	permit   rosemarylb.Permit
	pausedTo time.Time
	deadTo   time.Time
	noStore  time.Time
	cutFrom  map[rosemarylb.InstanceID]time.Time
	cutOff   map[rosemarylb.EndpointID]time.Time
	askAt    time.Time
	opAt     time.Time
	deposeAt time.Time
	storeAt  time.Time
	queue    []func()
}

// server is one endpoint.
type server struct {
	id      rosemarylb.EndpointID
	primary bool
	term    rosemarylb.Term
	log     []int
	deadTo  time.Time
	deafTo  time.Time
}

func newWorld(seed uint64) *world {
	w := &world{
		rand:   rand.New(rand.NewPCG(seed, 7)),
		now:    time.Unix(1000, 0),
		acked:  map[int]bool{},
		tokens: map[uint64]rosemarylb.InstanceID{},
	}
	var specs []rosemarylb.EndpointSpec
	for i := range 3 {
		s := &server{
			id:      rosemarylb.EndpointID("e" + strconv.Itoa(i)),
			primary: i == 0,
			term:    1,
		}
		w.servers = append(w.servers, s)
		specs = append(specs, rosemarylb.EndpointSpec{
			ID:       s.id,
			Database: modelGroup,
		})
	}
	for i := range modelMembers {
		n := &node{
			id: rosemarylb.InstanceID("i" + strconv.Itoa(i)),
		}
		w.nodes = append(w.nodes, n)
		w.start(n, specs)
	}
	return w
}

// start gives an instance a new process that knows nothing.
func (w *world) start(n *node, specs []rosemarylb.EndpointSpec) {
	n.process = w.rand.Uint64()
	n.keeper = keeper.NewKeeper(n.id, n.process, string(n.id)).WithEndpoints(specs)
	n.witness = &Witness{}
	n.permit = rosemarylb.Permit{}
	n.queue = nil
	n.cutFrom = map[rosemarylb.InstanceID]time.Time{}
	n.cutOff = map[rosemarylb.EndpointID]time.Time{}
}

// trace keeps the last events for a failed run.
func (w *world) trace(what string) {
	w.events = append(w.events, w.now.Sub(time.Unix(1000, 0)).String()+" "+what)
	if len(w.events) > 40 {
		w.events = w.events[1:]
	}
}

func (w *world) breaks(what string) {
	w.broken = append(w.broken, w.now.Sub(time.Unix(1000, 0)).String()+": "+what)
}

func (w *world) after(most time.Duration, do func()) {
	w.later = append(w.later, delayed{
		at: w.now.Add(time.Duration(w.rand.Int64N(int64(most)))),
		do: do,
	})
}

// to returns what runs something in an instance's present process, once the
// instance is awake; a process that ended meanwhile runs nothing.
func to(n *node) func(do func()) {
	process := n.process
	return func(do func()) {
		n.queue = append(n.queue, func() {
			if n.process == process {
				do()
			}
		})
	}
}

func (w *world) play() {
	end := w.now.Add(modelSpan)
	specs := []rosemarylb.EndpointSpec{}
	for _, s := range w.servers {
		specs = append(specs, rosemarylb.EndpointSpec{
			ID:       s.id,
			Database: modelGroup,
		})
	}
	for w.now.Before(end) && len(w.broken) == 0 {
		w.now = w.now.Add(modelStep)
		w.faults(specs)
		w.replicate()
		due := w.later
		w.later = nil
		for _, d := range due {
			if d.at.After(w.now) {
				w.later = append(w.later, d)
				continue
			}
			d.do()
		}
		for _, n := range w.nodes {
			w.tick(n)
		}
	}
}

// faults strikes now and then.
func (w *world) faults(specs []rosemarylb.EndpointSpec) {
	if w.rand.IntN(40) != 0 {
		return
	}
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if holder := w.record.Holder; w.rand.IntN(2) == 0 && holder != "" {
		n = w.node(holder)
	}
	s := w.servers[w.rand.IntN(len(w.servers))]
	span := time.Duration(w.rand.Int64N(int64(6 * time.Second)))
	switch w.rand.IntN(9) {
	case 0:
		w.trace(string(n.id) + " paused for " + span.String())
		n.pausedTo = w.now.Add(span)
	case 1:
		w.trace(string(n.id) + " killed")
		n.deadTo = w.now.Add(span / 4)
		w.start(n, specs)
	case 2, 3:
		w.trace(string(n.id) + " without store for " + span.String())
		n.noStore = w.now.Add(span)
	case 4:
		o := w.nodes[w.rand.IntN(len(w.nodes))]
		n.cutFrom[o.id] = w.now.Add(span)
		o.cutFrom[n.id] = w.now.Add(span)
	case 5:
		n.cutOff[s.id] = w.now.Add(span)
	case 6:
		s.deadTo = w.now.Add(span)
	case 7:
		s.deafTo = w.now.Add(span)
	case 8:
		if w.rand.IntN(3) == 0 {
			w.storeOut = w.now.Add(span)
		}
	}
}

func (w *world) node(id rosemarylb.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return w.nodes[0]
}

func (w *world) server(id rosemarylb.EndpointID) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// leader is the endpoint of the latest term.
func (w *world) leader() *server {
	best := w.servers[0]
	for _, s := range w.servers {
		if s.primary && (!best.primary || s.term > best.term) {
			best = s
		}
	}
	return best
}

// replicate copies the leader's log, and has old primaries that reach it
// follow in the end.
func (w *world) replicate() {
	l := w.leader()
	if !l.primary || w.now.Before(l.deadTo) {
		return
	}
	for _, s := range w.servers {
		if s == l || w.now.Before(s.deadTo) || w.now.Before(s.deafTo) || w.rand.IntN(3) == 0 {
			continue
		}
		if s.primary && w.rand.IntN(40) != 0 {
			continue
		}
		s.primary = false
		s.term = l.term
		s.log = slices.Clone(l.log)
	}
}

// tick is one step of an instance.
func (w *world) tick(n *node) {
	if w.now.Before(n.pausedTo) || w.now.Before(n.deadTo) {
		return
	}
	queue := n.queue
	n.queue = nil
	for _, do := range queue {
		do()
	}
	var d keeper.Decision
	n.keeper, d = n.keeper.Decide(w.now)
	w.carry(n, d)
	for _, e := range d.LogEvents {
		w.trace(string(n.id) + " " + e.Event + " " + string(e.Endpoint) + " " + e.Reason)
	}
	if !w.now.Before(n.askAt) {
		n.askAt = w.now.Add(120 * time.Millisecond)
		w.ask(n)
	}
	if !w.now.Before(n.opAt) {
		n.opAt = w.now.Add(60 * time.Millisecond)
		w.operate(n)
	}
}

// carry does what a keeper decided.
func (w *world) carry(n *node, d keeper.Decision) {
	if d.Write != nil {
		w.write(n, *d.Write)
	}
	if d.Read {
		w.read(n, func(r keeper.Record, revision uint64) {
			n.keeper = n.keeper.WithRecord(r, revision, w.now)
		}, func() {
			n.keeper = n.keeper.WithReadUnanswered(w.now)
		})
	}
	for _, p := range d.Promotions {
		w.promote(n, p)
	}
	for _, o := range d.Queries {
		w.order(n, o)
	}
}

func (w *world) storeReaches(n *node) bool {
	return !w.now.Before(w.storeOut) && !w.now.Before(n.noStore)
}

// write writes the record: it may be lost, done without an answer, or done
// seconds later if its condition still holds.
func (w *world) write(n *node, write keeper.Write) {
	back := to(n)
	unanswered := func() {
		w.after(time.Second, func() {
			back(func() { n.keeper = n.keeper.WithWriteUnanswered(w.now) })
		})
	}
	if !w.storeReaches(n) {
		if w.rand.IntN(3) == 0 {
			w.after(6*time.Second, func() { w.apply(write) })
		}
		unanswered()
		return
	}
	w.after(60*time.Millisecond, func() {
		done := w.apply(write)
		if w.rand.IntN(12) == 0 {
			unanswered()
			return
		}
		r, revision := w.record, w.revision
		w.after(60*time.Millisecond, func() {
			back(func() {
				n.storeAt = w.now
				if done {
					n.keeper = n.keeper.WithWriteConfirmed(revision, w.now)
					return
				}
				n.keeper = n.keeper.WithWriteConflict(r, revision, w.now)
			})
		})
	})
}

func (w *world) apply(write keeper.Write) bool {
	if write.Revision != w.revision {
		return false
	}
	w.revision++
	w.record = write.Record
	return true
}

func (w *world) read(n *node, then func(keeper.Record, uint64), failed func()) {
	back := to(n)
	if !w.storeReaches(n) {
		w.after(time.Second, func() { back(failed) })
		return
	}
	w.after(60*time.Millisecond, func() {
		r, revision := w.record, w.revision
		w.after(60*time.Millisecond, func() {
			back(func() {
				n.storeAt = w.now
				if revision > 0 {
					n.witness.Learned(r.Token, w.now)
				}
				then(r, revision)
			})
		})
	})
}

// promote carries an order for up to the time that a call may take.
func (w *world) promote(n *node, p rosemarylb.Promotion) {
	back := to(n)
	w.after(keeper.PromotionTimeout, func() {
		if holder, known := w.tokens[p.Token]; known && holder != n.id {
			w.breaks("two holders with token " + strconv.FormatUint(p.Token, 10))
		}
		w.tokens[p.Token] = n.id
		if p.Token < w.highest {
			w.breaks("a lower token after a higher one")
		}
		w.highest = max(w.highest, p.Token)
		s := w.server(p.Endpoint)
		outcome := rosemarylb.PromotionDone
		if w.now.Before(s.deadTo) {
			outcome = rosemarylb.PromotionRefused
		} else if w.leader() != s || !s.primary {
			w.after(300*time.Millisecond, func() { w.lead(s) })
		}
		if w.rand.IntN(6) == 0 {
			outcome = rosemarylb.PromotionUnknown
		}
		back(func() { n.keeper = n.keeper.WithPromotionOutcome(p, outcome, w.now) })
	})
}

// lead makes an endpoint the primary of the next term. What its log lacks is
// rolled back.
func (w *world) lead(s *server) {
	if w.now.Before(s.deadTo) || w.leader() == s && s.primary {
		return
	}
	s.term = w.leader().term + 1
	w.trace(string(s.id) + " leads term " + strconv.FormatUint(uint64(s.term), 10))
	s.primary = true
	w.moves++
	kept := map[int]bool{}
	for _, c := range s.log {
		kept[c] = w.acked[c]
	}
	w.acked = kept
}

// order asks an endpoint for its state, or to step down.
func (w *world) order(n *node, o keeper.EndpointQuery) {
	back := to(n)
	s := w.server(o.Endpoint.ID)
	askedAt := w.now
	status := keeper.Status{
		Group:    modelGroup,
		Endpoint: s.id,
		AskedAt:  askedAt,
	}
	if w.now.Before(n.cutOff[s.id]) || w.now.Before(s.deadTo) {
		w.after(350*time.Millisecond, func() {
			back(func() { n.keeper = n.keeper.WithStatus(status) })
		})
		return
	}
	w.after(100*time.Millisecond, func() {
		if o.Query.Kind == rosemarylb.QueryStepDown && s.term < o.Query.Term {
			s.primary = false
		}
		status.Answered = true
		status.Primary = s.primary
		status.Term = s.term
		status.LogPosition = rosemarylb.Position{
			Term: s.term,
			LSN:  rosemarylb.LSN(len(s.log)),
		}
		back(func() { n.keeper = n.keeper.WithStatus(status) })
	})
}

// ask asks for a permit: the holder that the store names, else the store.
func (w *world) ask(n *node) {
	back := to(n)
	askedAt := w.now
	w.read(n, func(r keeper.Record, revision uint64) {
		n.keeper = n.keeper.WithRecord(r, revision, w.now)
		if n.witness.SilentFor(w.now) > 250*time.Millisecond {
			w.permit(n, permit.FromRecord(r, askedAt))
		}
		w.depose(n, r)
	}, func() {})
	r := n.keeper.Record()
	if r.Holder == "" || !n.witness.Listens(r.Token) {
		return
	}
	holder := w.node(r.Holder)
	if w.now.Before(n.cutFrom[holder.id]) {
		return
	}
	there := to(holder)
	report := keeper.Report{
		From:            n.id,
		Address:         string(n.id),
		StoreAnsweredAt: n.storeAt,
		Evidence: []keeper.Evidence{{
			Group:   modelGroup,
			Primary: n.permit.Primary,
		}},
	}
	w.after(80*time.Millisecond, func() {
		there(func() {
			holder.keeper = holder.keeper.WithReport(report, w.now)
			grants, keeps := holder.keeper.Grants(w.now)
			released := holder.keeper.ReleasedToken()
			w.after(80*time.Millisecond, func() {
				back(func() {
					if released != 0 {
						n.keeper = n.keeper.WithLeaseReleased(released)
					}
					if keeps && n.witness.Heard(r.Token, askedAt) {
						w.permit(n, permit.FromGrants(grants, askedAt))
					}
				})
			})
		})
	})
}

func (w *world) permit(n *node, permits []rosemarylb.Permit) {
	for _, p := range permits {
		if p.Term > n.permit.Term || p.Term == n.permit.Term && p.ExpiresAt.After(n.permit.ExpiresAt) {
			n.permit = p
		}
	}
}

// depose does what the asker does when the holder is silent.
func (w *world) depose(n *node, r keeper.Record) {
	if r.Holder == "" || r.Holder == n.id || n.witness.SilentFor(w.now) < time.Second || w.now.Before(n.deposeAt) {
		return
	}
	n.deposeAt = w.now.Add(800 * time.Millisecond)
	others, promised := 0, 0
	for id := range r.Witnesses {
		if id == r.Holder {
			continue
		}
		others++
		o := w.node(id)
		reached := !w.now.Before(n.cutFrom[id]) && !w.now.Before(o.pausedTo) && !w.now.Before(o.deadTo)
		if reached && o.witness.Promise(r.Token, w.now) {
			promised++
		}
	}
	if _, need := keeper.WitnessQuorum(others); promised >= need {
		n.keeper = n.keeper.WithHolderDeposed(r.Token)
	}
}

// operate has an instance commit or read at the primary that it has a permit
// for. An answer counts only if a permit covers its arrival.
func (w *world) operate(n *node) {
	back := to(n)
	p := n.permit
	if p.Primary == "" || !w.now.Before(p.ExpiresAt) || w.now.Before(n.cutOff[p.Primary]) {
		return
	}
	s := w.server(p.Primary)
	before := map[int]bool{}
	for c := range w.acked {
		before[c] = w.acked[c]
	}
	reads := w.rand.IntN(2) == 0
	w.after(200*time.Millisecond, func() {
		if w.now.Before(s.deadTo) || !s.primary {
			return
		}
		log := slices.Clone(s.log)
		replaced := w.leader() != s
		commit := 0
		if !reads {
			w.next++
			commit = w.next
			s.log = append(s.log, commit)
		}
		w.after(200*time.Millisecond, func() {
			back(func() {
				if !n.permit.ValidFor(p.Term, w.now) {
					return
				}
				if reads {
					w.checkRead(log, before)
					return
				}
				if replaced {
					w.breaks("a commit at the replaced primary " + string(s.id) + " is acknowledged")
				}
				w.commits++
				if slices.Contains(w.leader().log, commit) {
					w.acked[commit] = true
				}
			})
		})
	})
}

// checkRead checks that a log holds what was acknowledged before the read and
// not rolled back since.
func (w *world) checkRead(log []int, before map[int]bool) {
	for c, is := range before {
		if is && w.acked[c] && !slices.Contains(log, c) {
			w.breaks("a read misses commit " + strconv.Itoa(c))
			return
		}
	}
}
