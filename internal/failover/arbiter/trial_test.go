package arbiter_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/arbiter"
	"rosemarylb/internal/failover/quorum"
)

var (
	trialSeed  = flag.Uint64("seed", 0, "run failover trials from this seed on")
	trialCount = flag.Uint64("count", 24, "failover trials to run")
	trialSteps = flag.Int("steps", 40, "faults drawn in a failover trial")
)

// write is a commit: its identity and the term that wrote it.
type write struct {
	term rosemarylb.Term
	id   int
}

// server is a small fake of an endpoint.
type server struct {
	id       rosemarylb.EndpointID
	log      []write
	term     rosemarylb.Term
	proposer rosemarylb.InstanceID
	primary  bool
	upstream rosemarylb.EndpointID
	frozen   bool
}

func (s *server) position() rosemarylb.Position {
	if len(s.log) == 0 {
		return rosemarylb.Position{}
	}
	return rosemarylb.Position{
		Term: s.log[len(s.log)-1].term,
		LSN:  rosemarylb.LSN(len(s.log)),
	}
}

// ack is an acknowledged write and where it stands in the log.
type ack struct {
	id int
	at rosemarylb.Position
}

// stands reports whether a log holds an acknowledged write.
func (a ack) stands(log []write) bool {
	return int(a.at.LSN) <= len(log) && log[a.at.LSN-1].id == a.id
}

// readDepth is how many of the latest acknowledged writes a read is checked
// for.
const readDepth = 64

// held is an answer that a keeper has not given out yet.
type held struct {
	target   rosemarylb.Primary
	id       int
	read     bool
	since    time.Time
	position rosemarylb.Position
	content  []write
	mustSee  []ack
}

// keeper is an instance with its arbiter and its acknowledger.
type keeper struct {
	id      rosemarylb.InstanceID
	arbiter rosemarylb.Arbiter
	acks    rosemarylb.Acknowledger
	primary rosemarylb.Primary
	paused  bool
	quiet   bool
	held    []held
}

type happening struct {
	at    time.Time
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// trial is one randomised run.
type trial struct {
	random   *rand.Rand
	now      time.Time
	agenda   agenda
	order    int
	database rosemarylb.Database
	servers  map[rosemarylb.EndpointID]*server
	keepers  []*keeper
	cut      map[string]bool
	loss     float64
	late     float64
	nextID   int
	acked    []ack
	promoted map[rosemarylb.Term]rosemarylb.EndpointID
	reads    int
	fault    string
}

func newTrial(seed uint64, endpoints, keepers int) *trial {
	t := &trial{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1000, 0),
		servers:  map[rosemarylb.EndpointID]*server{},
		cut:      map[string]bool{},
		promoted: map[rosemarylb.Term]rosemarylb.EndpointID{},
		database: rosemarylb.Database{
			Name: "book",
		},
	}
	for n := range endpoints {
		id := rosemarylb.EndpointID(fmt.Sprintf("e%d", n))
		t.servers[id] = &server{
			id: id,
		}
		t.database.Endpoints = append(t.database.Endpoints, rosemarylb.EndpointSpec{
			ID:      id,
			Address: string(id),
		})
	}
	for n := range keepers {
		id := rosemarylb.InstanceID(fmt.Sprintf("k%d", n))
		k := &keeper{
			id:      id,
			arbiter: arbiter.NewElection(id, t.database, arbiter.WithSeed(seed+uint64(n))),
			acks:    quorum.NewMajority(t.database.Quorum()),
		}
		t.keepers = append(t.keepers, k)
		t.after(0, func() { t.decide(k) })
	}
	for _, e := range t.database.Endpoints {
		t.after(0, func() { t.pull(t.servers[e.ID]) })
	}
	t.after(0, t.work)
	return t
}

func (t *trial) after(wait time.Duration, do func()) {
	t.order++
	heap.Push(&t.agenda, happening{
		at:    t.now.Add(wait),
		order: t.order,
		do:    do,
	})
}

// run goes on for a span of time or until an invariant breaks.
func (t *trial) run(span time.Duration) {
	until := t.now.Add(span)
	for t.fault == "" && len(t.agenda) > 0 && !t.agenda[0].at.After(until) {
		h := heap.Pop(&t.agenda).(happening)
		t.now = h.at
		h.do()
	}
	t.now = until
}

func (t *trial) brokenf(format string, args ...any) {
	if t.fault == "" {
		t.fault = fmt.Sprintf(format, args...)
	}
}

func (t *trial) latency() time.Duration {
	if t.random.Float64() < t.late {
		return time.Duration(200+t.random.IntN(3000)) * time.Millisecond
	}
	return time.Duration(500+t.random.IntN(8000)) * time.Microsecond
}

// carry brings a message from one peer to another, or loses it.
func (t *trial) carry(from, to string, do func()) {
	if t.cut[from+">"+to] || t.random.Float64() < t.loss {
		return
	}
	t.after(t.latency(), do)
}

// reach runs something on a server once it is not frozen.
func (t *trial) reach(s *server, do func()) {
	if !s.frozen {
		do()
		return
	}
	t.after(20*time.Millisecond, func() { t.reach(s, do) })
}

func (t *trial) decide(k *keeper) {
	if k.paused {
		t.after(10*time.Millisecond, func() { t.decide(k) })
		return
	}
	next, d := k.arbiter.Decide(t.now)
	k.arbiter = next
	if d.Announce {
		t.announce(k, d.Primary)
	}
	for _, c := range d.Commands {
		t.command(k, c)
	}
	wait := max(d.Next.Sub(t.now), time.Millisecond)
	t.after(wait, func() { t.decide(k) })
}

// announce tells the keepers of a primary, with a delay that may be long.
func (t *trial) announce(from *keeper, p rosemarylb.Primary) {
	for _, k := range t.keepers {
		learn := func() {
			k.arbiter = k.arbiter.WithAnnounced(p)
			if p.Supersedes(k.primary) {
				k.primary = p
				k.acks = k.acks.WithPrimary(p)
			}
		}
		if k == from {
			learn()
			continue
		}
		t.carry(string(from.id), string(k.id), learn)
	}
}

func (t *trial) command(k *keeper, c rosemarylb.Command) {
	s := t.servers[c.Endpoint]
	askedAt := t.now
	answered := false
	t.carry(string(k.id), string(s.id), func() {
		t.reach(s, func() {
			granted := t.obey(s, c)
			state := rosemarylb.EndpointState{
				ID:       s.id,
				Primary:  s.primary,
				Term:     s.term,
				Log:      s.position(),
				Applied:  s.position(),
				ProbedAt: askedAt,
			}
			t.carry(string(s.id), string(k.id), func() {
				answered = true
				t.told(k, rosemarylb.ProbeResult{
					Endpoint: s.id,
					Answered: true,
					Granted:  granted,
					Command:  c,
					State:    state,
				})
			})
		})
	})
	t.after(time.Second, func() {
		if !answered {
			k.arbiter = k.arbiter.WithProbe(rosemarylb.ProbeResult{
				Endpoint: s.id,
				Command:  c,
			}, t.now)
		}
	})
}

func (t *trial) told(k *keeper, p rosemarylb.ProbeResult) {
	if k.paused {
		t.after(10*time.Millisecond, func() { t.told(k, p) })
		return
	}
	k.arbiter = k.arbiter.WithProbe(p, t.now)
	k.acks = k.acks.WithState(p.State)
	t.release(k)
}

// obey carries out a command at an endpoint, as endpoints have to.
func (t *trial) obey(s *server, c rosemarylb.Command) bool {
	switch c.Kind {
	case rosemarylb.CommandFence:
		if c.Term < s.term || (c.Term == s.term && s.proposer != c.Proposer) {
			return false
		}
		if c.Term > s.term {
			s.term, s.proposer, s.primary, s.upstream = c.Term, c.Proposer, false, ""
		}
		return true
	case rosemarylb.CommandPromote:
		return t.promote(s, c)
	case rosemarylb.CommandFollow:
		if c.Term < s.term || (c.Term == s.term && s.primary) {
			return false
		}
		if c.Term > s.term {
			s.term, s.proposer = c.Term, ""
		}
		s.primary, s.upstream = false, rosemarylb.EndpointID(c.Upstream)
		return true
	default:
		return true
	}
}

func (t *trial) promote(s *server, c rosemarylb.Command) bool {
	if c.Term != s.term || s.proposer != c.Proposer {
		return false
	}
	if s.primary {
		return true
	}
	if other, twice := t.promoted[c.Term]; twice && other != s.id {
		t.brokenf("term %d has two primaries, %s and %s", c.Term, other, s.id)
	}
	t.promoted[c.Term] = s.id
	for _, a := range t.acked {
		// A promotion that arrives after a later term's cannot confirm
		// anything any more.
		if a.at.Term < c.Term && !a.stands(s.log) {
			t.brokenf("write %d was acknowledged and is lost in term %d", a.id, c.Term)
		}
	}
	s.primary = true
	s.log = append(s.log[:len(s.log):len(s.log)], write{
		term: c.Term,
		id:   -1,
	})
	return true
}

// pull replicates from the upstream, one exchange at a time.
func (t *trial) pull(s *server) {
	again := time.Duration(1+t.random.IntN(10)) * time.Millisecond
	if s.frozen || s.primary || s.upstream == "" {
		t.after(again, func() { t.pull(s) })
		return
	}
	u := t.servers[s.upstream]
	term, from := s.term, s.position()
	t.carry(string(s.id), string(u.id), func() {
		t.reach(u, func() {
			if !u.primary || u.term != term {
				return
			}
			matches := int(from.LSN) <= len(u.log) && (from.LSN == 0 || u.log[from.LSN-1].term == from.Term)
			var entries []write
			if matches {
				entries = u.log[from.LSN:]
			}
			t.carry(string(u.id), string(s.id), func() {
				t.reach(s, func() { t.store(s, term, from, matches, entries) })
			})
		})
	})
	t.after(again, func() { t.pull(s) })
}

func (t *trial) store(s *server, term rosemarylb.Term, from rosemarylb.Position, matches bool, entries []write) {
	if s.term != term || s.primary || s.position() != from {
		return
	}
	if !matches {
		s.log = s.log[:len(s.log)-1]
		return
	}
	s.log = append(s.log[:len(s.log):len(s.log)], entries...)
}

// work sends writes and reads to the primaries that the keepers know.
func (t *trial) work() {
	for _, k := range t.keepers {
		if k.primary.Term == 0 || k.paused {
			continue
		}
		if !k.quiet && t.random.IntN(2) == 0 {
			t.submitWrite(k)
		} else {
			t.submitRead(k)
		}
	}
	t.after(time.Duration(2+t.random.IntN(20))*time.Millisecond, t.work)
}

func (t *trial) submitWrite(k *keeper) {
	t.nextID++
	id, target, since := t.nextID, k.primary, t.now
	s := t.servers[target.Endpoint]
	t.carry(string(k.id), string(s.id), func() {
		t.reach(s, func() {
			if !s.primary {
				return
			}
			s.log = append(s.log[:len(s.log):len(s.log)], write{
				term: s.term,
				id:   id,
			})
			position := s.position()
			t.carry(string(s.id), string(k.id), func() {
				t.hold(k, held{
					target:   target,
					id:       id,
					since:    since,
					position: position,
				})
			})
		})
	})
}

func (t *trial) submitRead(k *keeper) {
	target, since := k.primary, t.now
	s := t.servers[target.Endpoint]
	mustSee := t.acked[max(0, len(t.acked)-readDepth):len(t.acked):len(t.acked)]
	t.carry(string(k.id), string(s.id), func() {
		t.reach(s, func() {
			content, position := s.log, s.position()
			t.carry(string(s.id), string(k.id), func() {
				t.hold(k, held{
					target:   target,
					read:     true,
					since:    since,
					position: position,
					content:  content,
					mustSee:  mustSee,
				})
			})
		})
	})
}

func (t *trial) hold(k *keeper, h held) {
	k.held = append(k.held, h)
	t.release(k)
}

// confirms reports whether an answer may be given out: its endpoint has to
// lead still, in the term that the request was sent in.
func (k *keeper) confirms(h held) bool {
	if k.primary != h.target {
		return false
	}
	if h.read {
		return k.acks.Confirmed(h.position, h.since)
	}
	return k.acks.Confirmed(h.position, time.Time{})
}

// release gives out what the acknowledger confirms.
func (t *trial) release(k *keeper) {
	if k.paused {
		return
	}
	var still []held
	for _, h := range k.held {
		if !k.confirms(h) {
			if t.now.Sub(h.since) < 10*time.Second && h.position.Term >= k.primary.Term {
				still = append(still, h)
			}
			continue
		}
		if !h.read {
			t.acked = append(t.acked, ack{
				id: h.id,
				at: h.position,
			})
			continue
		}
		t.checkRead(h)
	}
	k.held = still
}

func (t *trial) checkRead(h held) {
	t.reads++
	for _, a := range h.mustSee {
		if !a.stands(h.content) {
			t.brokenf("a confirmed read missed write %d, acknowledged before it began", a.id)
		}
	}
}

// disturb draws one fault, or heals.
func (t *trial) disturb() {
	switch t.random.IntN(12) {
	case 0, 1:
		s := t.servers[t.database.Endpoints[t.random.IntN(len(t.database.Endpoints))].ID]
		s.frozen = !s.frozen
	case 2, 3:
		k := t.keepers[t.random.IntN(len(t.keepers))]
		k.paused = !k.paused
	case 4, 5:
		t.cut[t.randomPeer()+">"+t.randomPeer()] = true
	case 6:
		t.loss = t.random.Float64() * 0.3
	case 7:
		t.late = t.random.Float64() * 0.2
	case 10:
		// A restarted keeper has forgotten the terms that it proposed.
		t.restart(t.keepers[t.random.IntN(len(t.keepers))])
	case 8:
		// A keeper that only reads keeps an old primary's log as it is.
		k := t.keepers[t.random.IntN(len(t.keepers))]
		k.quiet = !k.quiet
	case 9:
		// An instance that hears only the primary that it knows.
		k := t.keepers[t.random.IntN(len(t.keepers))]
		for _, e := range t.database.Endpoints {
			t.cut[string(k.id)+">"+string(e.ID)] = e.ID != k.primary.Endpoint
		}
		for _, other := range t.keepers {
			t.cut[string(other.id)+">"+string(k.id)] = true
		}
		k.quiet = true
	default:
		t.heal()
	}
}

func (t *trial) restart(k *keeper) {
	k.arbiter = arbiter.NewElection(k.id, t.database, arbiter.WithSeed(t.random.Uint64()))
	k.acks = quorum.NewMajority(t.database.Quorum())
	k.primary = rosemarylb.Primary{}
	k.held = nil
}

func (t *trial) randomPeer() string {
	n := t.random.IntN(len(t.keepers) + len(t.database.Endpoints))
	if n < len(t.keepers) {
		return string(t.keepers[n].id)
	}
	return string(t.database.Endpoints[n-len(t.keepers)].ID)
}

func (t *trial) heal() {
	for _, s := range t.servers {
		s.frozen = false
	}
	for _, k := range t.keepers {
		k.paused, k.quiet = false, false
	}
	t.cut = map[string]bool{}
	t.loss, t.late = 0, 0
}

// runTrial returns what broke, empty if nothing did.
func runTrial(seed uint64, steps int) (t *trial, fault string) {
	endpoints := 3
	if seed%4 == 3 {
		endpoints = 5
	}
	t = newTrial(seed, endpoints, 3)
	t.run(3 * time.Second)
	for range steps {
		t.disturb()
		t.run(time.Duration(t.random.IntN(1500)) * time.Millisecond)
		if t.fault != "" {
			return t, t.fault
		}
	}
	t.heal()
	t.run(8 * time.Second)
	before := len(t.acked)
	t.run(2 * time.Second)
	if t.fault == "" && len(t.acked) == before {
		t.brokenf("no write is acknowledged after everything was healed")
	}
	return t, t.fault
}

func TestFailoverTrialsLoseNothing(t *testing.T) {
	acked, reads, terms := 0, 0, 0
	for seed := *trialSeed; seed < *trialSeed+*trialCount; seed++ {
		r, fault := runTrial(seed, *trialSteps)
		if fault != "" {
			t.Fatalf("seed %d: %s (replay with -seed %d -count 1 -steps %d)", seed, fault, seed, *trialSteps)
		}
		acked += len(r.acked)
		reads += r.reads
		terms += len(r.promoted)
	}
	t.Logf("%d acknowledged writes, %d confirmed reads, %d promotions", acked, reads, terms)
}
