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
	seed       = flag.Uint64("seed", 1, "seed of the randomised run")
	faultCount = flag.Int("steps", 12, "faults drawn in the randomised run")
)

const configText = `
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
		Text: []byte(configText),
	})
	if err != nil {
		t.Fatal(err)
	}
	f, stop, err := fleet.NewFleet(d, 0, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	err = f.ExecSetup(t.Context(), "book",
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)",
		"CREATE TABLE IF NOT EXISTS effects (op INTEGER, session INTEGER, sequence INTEGER)",
		"CREATE TABLE IF NOT EXISTS pairs (owner INTEGER, half INTEGER)")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitForConvergence(); err != nil {
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

func TestCallersAddNoGoroutines(t *testing.T) {
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
	// The size of the library's own pool of goroutines varies by a few.
	if limit := before + 20; got > limit {
		t.Errorf("got %d goroutines with 2,000 callers, want at most %d", got, limit)
	}
	for _, c := range open {
		c.Close(context.Background())
	}
}

// opResults records the results of the sessions' operations, by operation number.
type opResults struct {
	mu           sync.Mutex
	acknowledged map[int]bool
	notRun       map[int]bool
	unknown      map[int]bool
	keyed        map[int]bool
	reads        int
	failures     []string
}

func (r *opResults) failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *opResults) record(op int, keyed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keyed[op] = keyed
	switch {
	case err == nil:
		r.acknowledged[op] = true
	case strings.Contains(err.Error(), "not run"):
		r.notRun[op] = true
	default:
		r.unknown[op] = true
	}
}

// session is a caller that writes, reads its own writes, and reconnects to
// randomly chosen instances.
type session struct {
	fleet     *fleet.Fleet
	results   *opResults
	number    int
	rng       *rand.Rand
	conn      *pgx.Conn
	floor     string
	sequence  int
	lastAcked int
}

func (s *session) reconnect(ctx context.Context) error {
	if s.conn != nil {
		s.conn.Close(ctx)
	}
	for ctx.Err() == nil {
		instance := s.rng.IntN(len(s.fleet.Instances))
		connectCtx, cancel := context.WithTimeout(ctx, time.Second)
		conn, err := pgx.Connect(connectCtx, s.fleet.ConnectionString(instance, "fitter", "book"))
		cancel()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.conn = conn
		if s.floor != "" && s.rng.IntN(2) == 0 {
			conn.Exec(ctx, "SET rosemarylb.floor = '"+s.floor+"'")
		}
		return nil
	}
	return ctx.Err()
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.conn == nil || s.conn.IsClosed() || s.rng.IntN(20) == 0 {
			if s.reconnect(ctx) != nil {
				return
			}
		}
		if s.rng.IntN(3) == 0 {
			s.write()
			continue
		}
		s.read()
	}
}

// write inserts a row under a new operation number, with an idempotency key in
// half of the cases.
func (s *session) write() {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	s.sequence++
	op := s.number*100000 + s.sequence
	keyed := s.rng.IntN(2) == 0
	if keyed {
		if _, err := s.conn.Exec(ctx, fmt.Sprintf("SET rosemarylb.idempotency_key = 'op-%d'", op)); err != nil {
			return
		}
	}
	_, err := s.conn.Exec(ctx, "INSERT INTO effects (op, session, sequence) VALUES ($1, $2, $3)", op, s.number, s.sequence)
	s.results.record(op, keyed, err)
	if err != nil {
		return
	}
	s.lastAcked = s.sequence
	s.floor = s.conn.PgConn().ParameterStatus("rosemarylb.floor")
}

// read checks that the session sees its last acknowledged write.
func (s *session) read() {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var got int
	err := s.conn.QueryRow(ctx, "SELECT count(*) FROM effects WHERE session = $1 AND sequence >= $2", s.number,
		s.lastAcked).Scan(&got)
	if err != nil {
		return
	}
	s.results.mu.Lock()
	s.results.reads++
	s.results.mu.Unlock()
	if s.lastAcked > 0 && got == 0 {
		s.results.failf("session %d does not see its write %d", s.number, s.lastAcked)
	}
}

// injectFault injects a random fault and returns its name.
func injectFault(f *fleet.Fleet, rng *rand.Rand) string {
	ids := []rosemarylb.EndpointID{"book-0", "book-1", "book-2"}
	e := f.Endpoints[ids[rng.IntN(3)]]
	switch rng.IntN(9) {
	case 8:
		// The other two instances keep running, so each region is still served.
		f.StopInstance(1)
		return "kill an instance"
	case 0:
		e.SetFaults(endpoint.Faults{
			Unresponsive: true,
		})
		return "freeze"
	case 1:
		e.SetFaults(endpoint.Faults{
			Down: true,
		})
		return "down"
	case 2:
		e.SetFaults(endpoint.Faults{
			DropResponses: 5,
		})
		return "lose answers"
	case 3:
		e.SetFaults(endpoint.Faults{
			ReplicationLagMillis: 50,
		})
		return "lag"
	case 4:
		e.SetFaults(endpoint.Faults{
			ApplyLagMillis: 300,
		})
		return "apply lag"
	case 5:
		e.SetFaults(endpoint.Faults{
			ReplicationStopped: true,
		})
		return "replication cut"
	case 6:
		f.Platform.SetFaults(standin.Faults{
			Down: rng.IntN(2) == 0,
		})
		return "platform"
	default:
		for _, id := range ids {
			f.Endpoints[id].SetFaults(endpoint.Faults{})
		}
		return "heal"
	}
}

func TestRandomFaultsPreserveGuarantees(t *testing.T) {
	f := newFleet(t)
	rng := rand.New(rand.NewPCG(*seed, 2))
	results := &opResults{
		acknowledged: map[int]bool{},
		notRun:       map[int]bool{},
		unknown:      map[int]bool{},
		keyed:        map[int]bool{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for n := range 8 {
		s := &session{
			fleet:   f,
			results: results,
			number:  n + 1,
			rng:     rand.New(rand.NewPCG(*seed, uint64(n)+10)),
		}
		done.Add(1)
		go func() {
			defer done.Done()
			s.run(ctx)
		}()
	}
	for range *faultCount {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		t.Logf("fault: %s", injectFault(f, rng))
	}
	for _, e := range f.Endpoints {
		e.SetFaults(endpoint.Faults{})
	}
	f.Platform.SetFaults(standin.Faults{})
	time.Sleep(2 * time.Second)
	cancel()
	done.Wait()
	verify(t, f, results)
}

// verify compares the rows in the database with the results that the sessions
// were given.
func verify(t *testing.T, f *fleet.Fleet, results *opResults) {
	t.Helper()
	for _, text := range results.failures {
		t.Error(text)
	}
	c := connect(t, f, 2)
	rows, err := c.Query(t.Context(), "SELECT op FROM effects")
	if err != nil {
		t.Fatal(err)
	}
	counts := map[int]int{}
	for rows.Next() {
		var op int
		if err := rows.Scan(&op); err != nil {
			t.Fatal(err)
		}
		counts[op]++
	}
	if rows.Err() != nil {
		t.Fatal(rows.Err())
	}
	for op := range results.acknowledged {
		if got := counts[op]; got != 1 {
			t.Errorf("operation %d was acknowledged (keyed %v): got %d effects, want 1", op, results.keyed[op], got)
		}
	}
	for op := range results.notRun {
		if got := counts[op]; got != 0 {
			t.Errorf("operation %d was not run (keyed %v): got %d effects, want 0", op, results.keyed[op], got)
		}
	}
	for op := range results.unknown {
		if got := counts[op]; got > 1 {
			t.Errorf("operation %d has an unknown outcome: got %d effects, want at most 1", op, got)
		}
	}
	t.Logf("acknowledged %d, not run %d, unknown %d, reads %d",
		len(results.acknowledged), len(results.notRun), len(results.unknown), results.reads)
	if len(results.acknowledged) == 0 {
		t.Error("got no acknowledged operation, want some")
	}
}

func TestNoDutySpinsWhenIdle(t *testing.T) {
	f := newFleet(t)
	before := timerWakeups(t, f)
	const duration = 2 * time.Second
	time.Sleep(duration)
	// The most frequent timer of an idle duty fires 50 times a second; the limit is
	// twice that.
	const limit = 100 * 2
	for name, count := range timerWakeups(t, f) {
		if got := count - before[name]; got > limit {
			t.Errorf("%s: got %d wake-ups in %v, want at most %d", name, got, duration, limit)
		}
	}
}

// timerWakeups returns the number of timer wake-ups of each duty of each instance.
func timerWakeups(t *testing.T, f *fleet.Fleet) map[string]uint64 {
	t.Helper()
	counts := map[string]uint64{}
	for _, i := range f.Instances {
		response, err := http.Get("http://" + i.OperatorAddress() + "/dump")
		if err != nil {
			t.Fatal(err)
		}
		var d operator.Dump
		if err := json.NewDecoder(response.Body).Decode(&d); err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		for n, report := range d.Duties {
			counts[fmt.Sprintf("%s %s %d", d.Instance, report.Duty, n)] = report.TimerWakeups
		}
	}
	return counts
}
