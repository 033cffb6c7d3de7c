package service_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/peer/operator"
	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/fleet"
	standin "rosemarylb/internal/standin/platform"

	"github.com/jackc/pgx/v5"
)

var (
	seed  = flag.Uint64("seed", 1, "seed of the randomised run")
	steps = flag.Int("steps", 12, "faults drawn in the randomised run")
)

const description = `
service: test
regions:
  hills:
    domains:
      d0:
      d1:
  coast:
    domains:
      d2:
databases:
  book:
    endpoints:
      book-0:
        address: "127.0.0.1:1"
        domain: d0
        connections: 6
      book-1:
        address: "127.0.0.1:2"
        domain: d1
        connections: 6
      book-2:
        address: "127.0.0.1:3"
        domain: d2
        connections: 6
limits:
  request: 6s
  drain: 3s
`

func newFleet(t testing.TB, options ...fleet.Option) *fleet.Fleet {
	t.Helper()
	d, err := site.NewDocument(site.File{
		Name: "test",
		Text: []byte(description),
	})
	if err != nil {
		t.Fatal(err)
	}
	f, stop, err := fleet.NewFleet(d, 0, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	err = f.Prepare(t.Context(), "book",
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)",
		"CREATE TABLE IF NOT EXISTS effects (op INTEGER, session INTEGER, sequence INTEGER)",
		"CREATE TABLE IF NOT EXISTS pairs (owner INTEGER, half INTEGER)")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitMembers(); err != nil {
		t.Fatal(err)
	}
	return f
}

func connect(t *testing.T, f *fleet.Fleet, instance int) *pgx.Conn {
	t.Helper()
	c, err := f.Connect(t.Context(), instance, "fitter", "book")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close(context.Background())
	})
	return c
}

func TestCallersAddNoThreads(t *testing.T) {
	f := newFleet(t)
	time.Sleep(200 * time.Millisecond)
	before := runtime.NumGoroutine()
	var open []*pgx.Conn
	for n := range 2000 {
		c, err := f.Connect(t.Context(), n%len(f.Instances), "fitter", "book")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	time.Sleep(200 * time.Millisecond)
	got := runtime.NumGoroutine()
	// The pool of the library's own helpers may come and go by a few.
	if limit := before + 20; got > limit {
		t.Errorf("got %d goroutines with 2,000 callers, want at most %d", got, limit)
	}
	for _, c := range open {
		c.Close(context.Background())
	}
}

// told is what a session was told of its operations.
type told struct {
	mu      sync.Mutex
	acked   map[int]bool
	notRun  map[int]bool
	unknown map[int]bool
	keyed   map[int]bool
	reads   int
	faults  []string
}

func (o *told) faultf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

func (o *told) note(op int, keyed bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyed[op] = keyed
	switch {
	case err == nil:
		o.acked[op] = true
	case strings.Contains(err.Error(), "not run"):
		o.notRun[op] = true
	default:
		o.unknown[op] = true
	}
}

// session is one caller that writes, reads its writes and roams.
type session struct {
	f        *fleet.Fleet
	told     *told
	number   int
	random   *rand.Rand
	c        *pgx.Conn
	floor    string
	sequence int
	seen     int
}

func (s *session) roam(ctx context.Context) error {
	if s.c != nil {
		s.c.Close(ctx)
	}
	for ctx.Err() == nil {
		instance := s.random.IntN(len(s.f.Instances))
		short, cancel := context.WithTimeout(ctx, time.Second)
		c, err := pgx.Connect(short, s.f.ConnectionString(instance, "fitter", "book"))
		cancel()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.c = c
		if s.floor != "" && s.random.IntN(2) == 0 {
			c.Exec(ctx, "SET rosemarylb.floor = '"+s.floor+"'")
		}
		return nil
	}
	return ctx.Err()
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.c == nil || s.c.IsClosed() || s.random.IntN(20) == 0 {
			if s.roam(ctx) != nil {
				return
			}
		}
		if s.random.IntN(3) == 0 {
			s.write()
			continue
		}
		s.read()
	}
}

// write appends one effect under its own number.
func (s *session) write() {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	s.sequence++
	op := s.number*100000 + s.sequence
	keyed := s.random.IntN(2) == 0
	if keyed {
		if _, err := s.c.Exec(ctx, fmt.Sprintf("SET rosemarylb.idempotency_key = 'op-%d'", op)); err != nil {
			return
		}
	}
	_, err := s.c.Exec(ctx, "INSERT INTO effects (op, session, sequence) VALUES ($1, $2, $3)", op, s.number, s.sequence)
	s.told.note(op, keyed, err)
	if err != nil {
		return
	}
	s.seen = s.sequence
	s.floor = s.c.PgConn().ParameterStatus("rosemarylb.floor")
}

// read checks that the session sees its last acknowledged effect.
func (s *session) read() {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var got int
	err := s.c.QueryRow(ctx, "SELECT count(*) FROM effects WHERE session = $1 AND sequence >= $2", s.number,
		s.seen).Scan(&got)
	if err != nil {
		return
	}
	s.told.mu.Lock()
	s.told.reads++
	s.told.mu.Unlock()
	if s.seen > 0 && got == 0 {
		s.told.faultf("session %d does not see its write %d", s.number, s.seen)
	}
}

// disturb draws one fault and returns its name.
func disturb(f *fleet.Fleet, r *rand.Rand) string {
	ids := []rosemarylb.EndpointID{"book-0", "book-1", "book-2"}
	e := f.Endpoints[ids[r.IntN(3)]]
	switch r.IntN(9) {
	case 8:
		// Two of the three instances stay, so that each region is served.
		f.Kill(1)
		return "kill an instance"
	case 0:
		e.SetFaults(endpoint.Faults{
			Frozen: true,
		})
		return "freeze"
	case 1:
		e.SetFaults(endpoint.Faults{
			Down: true,
		})
		return "down"
	case 2:
		e.SetFaults(endpoint.Faults{
			LoseAnswers: 5,
		})
		return "lose answers"
	case 3:
		e.SetFaults(endpoint.Faults{
			LagMillis: 50,
		})
		return "lag"
	case 4:
		e.SetFaults(endpoint.Faults{
			ApplyLagMillis: 300,
		})
		return "apply lag"
	case 5:
		e.SetFaults(endpoint.Faults{
			ReplicationCut: true,
		})
		return "replication cut"
	case 6:
		f.Platform.SetFaults(standin.Faults{
			Down: r.IntN(2) == 0,
		})
		return "platform"
	default:
		for _, id := range ids {
			f.Endpoints[id].SetFaults(endpoint.Faults{})
		}
		return "heal"
	}
}

func TestRandomFaultsKeepEveryPromise(t *testing.T) {
	f := newFleet(t)
	r := rand.New(rand.NewPCG(*seed, 2))
	o := &told{
		acked:   map[int]bool{},
		notRun:  map[int]bool{},
		unknown: map[int]bool{},
		keyed:   map[int]bool{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for n := range 8 {
		s := &session{
			f:      f,
			told:   o,
			number: n + 1,
			random: rand.New(rand.NewPCG(*seed, uint64(n)+10)),
		}
		done.Add(1)
		go func() {
			defer done.Done()
			s.run(ctx)
		}()
	}
	for range *steps {
		time.Sleep(time.Duration(200+r.IntN(800)) * time.Millisecond)
		t.Logf("fault: %s", disturb(f, r))
	}
	for _, e := range f.Endpoints {
		e.SetFaults(endpoint.Faults{})
	}
	f.Platform.SetFaults(standin.Faults{})
	time.Sleep(2 * time.Second)
	cancel()
	done.Wait()
	verify(t, f, o)
}

// verify counts the effects that stand against what callers were told.
func verify(t *testing.T, f *fleet.Fleet, o *told) {
	t.Helper()
	for _, text := range o.faults {
		t.Error(text)
	}
	c := connect(t, f, 2)
	rows, err := c.Query(t.Context(), "SELECT op FROM effects")
	if err != nil {
		t.Fatal(err)
	}
	stands := map[int]int{}
	for rows.Next() {
		var op int
		if err := rows.Scan(&op); err != nil {
			t.Fatal(err)
		}
		stands[op]++
	}
	if rows.Err() != nil {
		t.Fatal(rows.Err())
	}
	for op := range o.acked {
		if got := stands[op]; got != 1 {
			t.Errorf("operation %d was acknowledged (keyed %v): got %d effects, want 1", op, o.keyed[op], got)
		}
	}
	for op := range o.notRun {
		if got := stands[op]; got != 0 {
			t.Errorf("operation %d was not run (keyed %v): got %d effects, want 0", op, o.keyed[op], got)
		}
	}
	for op := range o.unknown {
		if got := stands[op]; got > 1 {
			t.Errorf("operation %d has an unknown outcome: got %d effects, want at most 1", op, got)
		}
	}
	t.Logf("acknowledged %d, not run %d, unknown %d, reads %d", len(o.acked), len(o.notRun), len(o.unknown), o.reads)
	if len(o.acked) == 0 {
		t.Error("got no acknowledged operation, want some")
	}
}

func TestNoDutySpinsAtRest(t *testing.T) {
	f := newFleet(t)
	before := wakes(t, f)
	const span = 2 * time.Second
	time.Sleep(span)
	// The quickest timers of the duties at rest run 50 times a second.
	const limit = 100 * 2
	for name, count := range wakes(t, f) {
		if got := count - before[name]; got > limit {
			t.Errorf("%s: got %d wake-ups in %v, want at most %d", name, got, span, limit)
		}
	}
}

// wakes returns how often each duty of each instance was woken by its timer.
func wakes(t *testing.T, f *fleet.Fleet) map[string]uint64 {
	t.Helper()
	counts := map[string]uint64{}
	for _, i := range f.Instances {
		answer, err := http.Get("http://" + i.OperatorAddress() + "/dump")
		if err != nil {
			t.Fatal(err)
		}
		var d operator.Dump
		if err := json.NewDecoder(answer.Body).Decode(&d); err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		for n, report := range d.Duties {
			counts[fmt.Sprintf("%s %s %d", d.Instance, report.Duty, n)] = report.Wakes
		}
	}
	return counts
}
