package fleettest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "rosemarylb")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(folder)
	binaries = folder
	build := exec.Command("go", "build", "-o", folder, "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// process is one running program.
type process struct {
	command *exec.Cmd
	address string
	log     *bytes.Buffer
}

// instance is one running instance of the proxy.
type instance struct {
	process

	caller   string
	operator string
	peer     string
}

// fleet is a platform, endpoints and instances, each a process.
type fleet struct {
	t         testing.TB
	platform  *process
	endpoints []*process
	controls  []string
	instances []*instance
	base      string
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func start(t testing.TB, announces bool, name string, args ...string) *process {
	t.Helper()
	p := &process{
		command: exec.Command(filepath.Join(binaries, name), args...),
		log:     &bytes.Buffer{},
	}
	p.command.Stderr = p.log
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.command.Process.Kill()
		p.command.Wait()
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), p.log.String())
		}
	})
	if announces {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%s: no address: %v", name, err)
		}
		p.address = strings.TrimSpace(line)
	}
	return p
}

const domains = 3

// newFleet starts a fleet of one database with an endpoint and an instance in
// each of three domains, and waits until it serves.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		platform: start(t, true, "standin", "platform"),
	}
	var config strings.Builder
	config.WriteString("service: test\nregions:\n  hills:\n    domains:\n      d0:\n      d1:\n      d2:\n")
	config.WriteString("limits:\n  drain: 5s\ncallers:\n  fitter:\n    rank: urgent\n")
	config.WriteString("databases:\n  book:\n    endpoints:\n")
	for n := range domains {
		control := freeAddress(t)
		f.controls = append(f.controls, control)
		e := start(t, true, "standin", "endpoint", "--name", fmt.Sprintf("book-%d", n), "--control", control)
		f.endpoints = append(f.endpoints, e)
		fmt.Fprintf(&config, "      book-%d:\n        address: %q\n        domain: d%d\n        connections: 8\n", n,
			e.address, n)
	}
	f.base = filepath.Join(t.TempDir(), "base.yaml")
	if err := os.WriteFile(f.base, []byte(config.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	f.cli(0, "config", "apply", "--base", f.base, "--platform", f.platformURL())
	f.startInstances()
	f.exec("CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)")
	f.exec("CREATE TABLE IF NOT EXISTS jobs (id INTEGER PRIMARY KEY, note TEXT)")
	return f
}

func (f *fleet) platformURL() string {
	return "http://" + f.platform.address
}

func (f *fleet) startInstances() {
	for n := range domains {
		f.startInstance(n)
	}
	f.list()
}

func (f *fleet) startInstance(n int) {
	i := &instance{
		caller:   freeAddress(f.t),
		operator: freeAddress(f.t),
		peer:     freeAddress(f.t),
	}
	i.process = *start(f.t, false, "rosemarylb", "serve",
		"--instance", fmt.Sprintf("i%d", n), "--domain", fmt.Sprintf("d%d", n), "--region", "hills",
		"--caller-address", i.caller, "--instance-address", i.peer, "--operator-address", i.operator,
		"--platform", f.platformURL())
	f.instances = append(f.instances, i)
}

// list tells the platform which instances there are.
func (f *fleet) list() {
	var items []string
	for n, i := range f.instances {
		items = append(items, fmt.Sprintf(`{"name":"i%d","address":%q,"domain":"d%d","region":"hills"}`, n, i.peer, n))
	}
	f.put("http://"+f.platform.address+"/instances", `{"items":[`+strings.Join(items, ",")+`]}`)
}

func (f *fleet) put(url, body string) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	answer.Body.Close()
}

// faults sets what an endpoint does wrong.
func (f *fleet) faults(endpoint int, body string) {
	f.put("http://"+f.controls[endpoint], body)
}

// cli runs a command line and checks its exit code.
func (f *fleet) cli(want int, args ...string) string {
	f.t.Helper()
	command := exec.Command(filepath.Join(binaries, "rosemarylb"), args...)
	out, _ := command.CombinedOutput()
	if got := command.ProcessState.ExitCode(); got != want {
		f.t.Fatalf("%v: got exit code %d, want %d: %s", args, got, want, out)
	}
	return string(out)
}

func (f *fleet) url(n int) string {
	return fmt.Sprintf("postgres://fitter@%s/book?sslmode=disable&connect_timeout=5", f.instances[n].caller)
}

// connect opens a session, and waits until the instance serves.
func (f *fleet) connect(n int) *pgx.Conn {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		c, err := pgx.Connect(context.Background(), f.url(n))
		if err == nil {
			f.t.Cleanup(func() {
				c.Close(context.Background())
			})
			return c
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("connect to instance %d: %v", n, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// exec runs a statement through the first instance until it is done.
func (f *fleet) exec(statement string) {
	f.t.Helper()
	c := f.connect(0)
	deadline := time.Now().Add(20 * time.Second)
	for {
		_, err := c.Exec(context.Background(), statement)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %v", statement, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// primary returns the number of the endpoint that is the primary.
func (f *fleet) primary() int {
	f.t.Helper()
	c := f.connect(0)
	if _, err := c.Exec(context.Background(), "INSERT INTO jobs (note) VALUES ('probe')"); err != nil {
		f.t.Fatalf("probe: %v", err)
	}
	status := f.cli(0, "dump", "--operator", f.instances[0].operator)
	for n := range domains {
		if strings.Contains(status, fmt.Sprintf("\"book\": \"book-%d term", n)) {
			return n
		}
	}
	f.t.Fatalf("no primary in %s", status)
	return 0
}

func TestWriteAtOneInstanceIsReadAtAnother(t *testing.T) {
	f := newFleet(t)
	ctx := context.Background()
	writer, reader := f.connect(0), f.connect(2)
	for id := 1000; id < 1050; id++ {
		if _, err := writer.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, $2)", id, "hall mirror"); err != nil {
			t.Fatalf("insert: %v", err)
		}
		floor := writer.PgConn().ParameterStatus("rosemarylb.floor")
		if _, err := reader.Exec(ctx, "SET rosemarylb.floor = '"+floor+"'"); err != nil {
			t.Fatalf("floor: %v", err)
		}
		var got string
		if err := reader.QueryRow(ctx, "SELECT note FROM jobs WHERE id = $1", id).Scan(&got); err != nil {
			t.Fatalf("read of %d at floor %s: %v", id, floor, err)
		}
		if want := "hall mirror"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// ledger counts what workers were told.
type ledger struct {
	mu      sync.Mutex
	acked   map[int]bool
	notRun  map[int]bool
	unknown map[int]bool
	gaps    []time.Duration
	bad     []string
}

func newLedger() *ledger {
	return &ledger{
		acked:   map[int]bool{},
		notRun:  map[int]bool{},
		unknown: map[int]bool{},
	}
}

func (l *ledger) note(id int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acked[id] = true
	case strings.Contains(err.Error(), "not run"):
		l.notRun[id] = true
	case strings.Contains(err.Error(), "outcome unknown"):
		l.unknown[id] = true
	default:
		l.unknown[id] = true
		l.bad = append(l.bad, err.Error())
	}
}

// work inserts numbered rows through the given instances until stopped; a
// session whose connection ends goes on at the next instance.
func (f *fleet) work(l *ledger, worker int, instances []int, stop <-chan struct{}) {
	ctx := context.Background()
	at := worker
	var c *pgx.Conn
	last := time.Now()
	for sequence := 0; ; sequence++ {
		select {
		case <-stop:
			return
		default:
		}
		for c == nil || c.IsClosed() {
			at++
			var err error
			// Without a cache of statements the library sends nothing of its own
			// between two requests.
			c, err = pgx.Connect(ctx, f.url(instances[at%len(instances)])+"&default_query_exec_mode=exec")
			if err != nil {
				c = nil
				time.Sleep(5 * time.Millisecond)
			}
			select {
			case <-stop:
				return
			default:
			}
		}
		id := worker*1000000 + sequence + 1
		_, err := c.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, 'x')", id)
		l.note(id, err)
		if err == nil {
			l.mu.Lock()
			l.gaps = append(l.gaps, time.Since(last))
			l.mu.Unlock()
			last = time.Now()
		}
	}
}

// verify compares what workers were told with the rows that stand.
func (f *fleet) verify(l *ledger, reader *pgx.Conn) {
	f.t.Helper()
	ctx := context.Background()
	rows, err := reader.Query(ctx, "SELECT id FROM jobs WHERE id >= 1000000")
	if err != nil {
		f.t.Fatal(err)
	}
	stands := map[int]bool{}
	for rows.Next() {
		var id int
		if err := rows.Scan(&id); err != nil {
			f.t.Fatal(err)
		}
		stands[id] = true
	}
	if rows.Err() != nil {
		f.t.Fatal(rows.Err())
	}
	for id := range l.acked {
		if !stands[id] {
			f.t.Errorf("row %d was acknowledged and is lost", id)
		}
	}
	for id := range l.notRun {
		if stands[id] {
			f.t.Errorf("row %d was refused as not run and stands", id)
		}
	}
	f.t.Logf("acknowledged %d, not run %d, unknown %d", len(l.acked), len(l.notRun), len(l.unknown))
}

func (l *ledger) longestGap() time.Duration {
	longest := time.Duration(0)
	for _, g := range l.gaps {
		longest = max(longest, g)
	}
	return longest
}

// during runs workers while something happens.
func (f *fleet) during(workers int, instances []int, happen func()) *ledger {
	l := newLedger()
	stop := make(chan struct{})
	var done sync.WaitGroup
	for w := range workers {
		done.Add(1)
		go func() {
			defer done.Done()
			f.work(l, w+1, instances, stop)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	happen()
	close(stop)
	done.Wait()
	return l
}

func TestSignalDuringRequestsCutsNone(t *testing.T) {
	f := newFleet(t)
	l := f.during(6, []int{0, 1, 2}, func() {
		f.instances[1].command.Process.Signal(syscall.SIGTERM)
		if err := f.instances[1].command.Wait(); err != nil {
			t.Errorf("got exit %v, want a clean end", err)
		}
		time.Sleep(500 * time.Millisecond)
	})
	for _, text := range l.bad {
		t.Errorf("a request was cut: %s", text)
	}
	if len(l.unknown) > 0 {
		t.Errorf("got %d unknown outcomes, want none", len(l.unknown))
	}
	f.verify(l, f.connect(0))
}

func TestCrashOfThePrimaryLosesNothingAcknowledged(t *testing.T) {
	f := newFleet(t)
	lost := f.primary()
	l := f.during(4, []int{0, 1, 2}, func() {
		f.endpoints[lost].command.Process.Kill()
		time.Sleep(4 * time.Second)
	})
	f.verify(l, f.connect(0))
	if got, want := l.longestGap(), 3*time.Second; got > want {
		t.Errorf("got a gap of %v, want at most %v", got, want)
	}
	t.Logf("longest gap between acknowledged writes: %v", l.longestGap())
}

func TestSilentPrimaryWithThePlatformDown(t *testing.T) {
	f := newFleet(t)
	lost := f.primary()
	f.put("http://"+f.platform.address+"/faults", `{"down":true}`)
	l := f.during(4, []int{0, 1, 2}, func() {
		f.faults(lost, `{"frozen":true}`)
		time.Sleep(5 * time.Second)
		f.faults(lost, `{}`)
		time.Sleep(time.Second)
	})
	f.verify(l, f.connect(0))
	t.Logf("longest gap between acknowledged writes: %v", l.longestGap())
	if got, want := l.longestGap(), 4*time.Second; got > want {
		t.Errorf("got a gap of %v, want at most %v", got, want)
	}
}

func TestKilledInstanceLosesNothingAcknowledged(t *testing.T) {
	f := newFleet(t)
	owner := f.primary()
	var others []int
	for n := range domains {
		if n != owner {
			others = append(others, n)
		}
	}
	l := f.during(4, others, func() {
		f.instances[owner].command.Process.Kill()
		time.Sleep(4 * time.Second)
	})
	f.verify(l, f.connect(others[0]))
	t.Logf("longest gap between acknowledged writes: %v", l.longestGap())
	if got, want := l.longestGap(), 4*time.Second; got > want {
		t.Errorf("got a gap of %v, want at most %v", got, want)
	}
}

func TestRolloutIsFollowedAndRacesAreTold(t *testing.T) {
	f := newFleet(t)
	overlay := filepath.Join(t.TempDir(), "overlay.yaml")
	if err := os.WriteFile(overlay, []byte("limits:\n  queue: 77\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	source := []string{"--base", f.base, "--overlay", overlay, "--platform", f.platformURL()}
	f.cli(0, append([]string{"config", "apply"}, source...)...)
	status := []string{"config", "status", "--follow", "--timeout", "5s", "--revision", "2"}
	for _, i := range f.instances {
		status = append(status, "--operator", i.operator)
	}
	out := f.cli(0, status...)
	if !strings.Contains(out, "revision=2 in-force=3 missing=0") {
		t.Errorf("got %q, want revision 2 in force on 3 instances", out)
	}
	late := append([]string{"config", "apply", "--seen", "1"}, "--base", f.base, "--platform", f.platformURL())
	out = f.cli(3, late...)
	if !strings.Contains(out, "limits.queue") {
		t.Errorf("got %q, want the change that came first", out)
	}
	text, err := os.ReadFile(f.base)
	if err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "other.yaml")
	if err := os.WriteFile(other, bytes.Replace(text, []byte("book-2:"), []byte("book-9:"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	out = f.cli(2, "config", "apply", "--base", other, "--platform", f.platformURL())
	if !strings.Contains(out, "endpoints of book") {
		t.Errorf("got %q, want the change of the group refused", out)
	}
}
