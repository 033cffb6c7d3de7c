package fleettest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarylb/internal/standin/loopback"

	"github.com/jackc/pgx/v5"
)

// binaryDir is the directory of the built programs.
var binaryDir string

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
	binaryDir = folder
	build := exec.Command("go", "build", "-o", folder, "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// process is a running program.
type process struct {
	command *exec.Cmd
	address string
	log     *bytes.Buffer
}

// instance is a running instance of the proxy.
type instance struct {
	process

	callerAddress   string
	operatorAddress string
	instanceAddress string
}

// fleet is a platform, endpoints and instances, each of them a process.
type fleet struct {
	t                testing.TB
	platform         *process
	endpoints        []*process
	controlAddresses []string
	instances        []*instance
	basePath         string
}

func newAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func startProcess(t testing.TB, printsAddress bool, name string, args ...string) *process {
	t.Helper()
	p := &process{
		command: exec.Command(filepath.Join(binaryDir, name), args...),
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
	if printsAddress {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%s: no address: %v", name, err)
		}
		p.address = strings.TrimSpace(line)
	}
	return p
}

const domainCount = 3

// newFleet starts a fleet of one database, with an endpoint and an instance in
// each domain, and waits until it serves requests.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		platform: startProcess(t, true, "standin", "platform"),
	}
	var config strings.Builder
	config.WriteString("service: test\nregions:\n  hills:\n    domains:\n      d0:\n      d1:\n      d2:\n")
	config.WriteString("limits:\n  drain: 5s\ncallers:\n  fitter:\n    rank: urgent\n")
	config.WriteString("databases:\n  book:\n    endpoints:\n")
	for n := range domainCount {
		control := newAddress(t)
		f.controlAddresses = append(f.controlAddresses, control)
		e := startProcess(t, true, "standin", "endpoint", "--name", fmt.Sprintf("book-%d", n), "--control", control)
		f.endpoints = append(f.endpoints, e)
		fmt.Fprintf(&config, "      book-%d:\n        address: %q\n        domain: d%d\n        connections: 8\n", n,
			e.address, n)
	}
	f.basePath = filepath.Join(t.TempDir(), "base.yaml")
	if err := os.WriteFile(f.basePath, []byte(config.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	f.runCommand(0, "config", "apply", "--base", f.basePath, "--platform", f.platformURL())
	f.startInstances()
	f.exec("CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)")
	f.exec("CREATE TABLE IF NOT EXISTS jobs (id INTEGER PRIMARY KEY, note TEXT)")
	return f
}

func (f *fleet) platformURL() string {
	return "http://" + f.platform.address
}

func (f *fleet) startInstances() {
	for n := range domainCount {
		f.startInstance(n)
	}
	f.publishInstances()
}

func (f *fleet) startInstance(n int) {
	i := &instance{
		callerAddress:   newAddress(f.t),
		operatorAddress: newAddress(f.t),
		instanceAddress: newAddress(f.t),
	}
	i.process = *startProcess(f.t, false, "rosemarylb", "serve",
		"--instance", fmt.Sprintf("i%d", n), "--domain", fmt.Sprintf("d%d", n), "--region", "hills",
		"--caller-address", i.callerAddress, "--instance-address", i.instanceAddress,
		"--operator-address", i.operatorAddress,
		"--platform", f.platformURL())
	f.instances = append(f.instances, i)
}

// publishInstances sets the platform's list of instances.
func (f *fleet) publishInstances() {
	var items []string
	for n, i := range f.instances {
		items = append(items,
			fmt.Sprintf(`{"name":"i%d","address":%q,"domain":"d%d","region":"hills"}`, n, i.instanceAddress, n))
	}
	f.put("http://"+f.platform.address+"/instances", `{"items":[`+strings.Join(items, ",")+`]}`)
}

func (f *fleet) put(url, body string) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	response.Body.Close()
}

// setFaults injects faults, given as JSON, into an endpoint.
func (f *fleet) setFaults(endpoint int, body string) {
	f.put("http://"+f.controlAddresses[endpoint], body)
}

// runCommand runs the command line program, checks its exit code and returns its
// output.
func (f *fleet) runCommand(wantExitCode int, args ...string) string {
	f.t.Helper()
	command := exec.Command(filepath.Join(binaryDir, "rosemarylb"), args...)
	out, _ := command.CombinedOutput()
	if got := command.ProcessState.ExitCode(); got != wantExitCode {
		f.t.Fatalf("%v: got exit code %d, want %d: %s", args, got, wantExitCode, out)
	}
	return string(out)
}

func (f *fleet) connectionString(n int) string {
	return fmt.Sprintf("postgres://fitter@%s/book?sslmode=disable&connect_timeout=5", f.instances[n].callerAddress)
}

// connect opens a session at an instance. It retries until the instance accepts
// it.
func (f *fleet) connect(n int) *pgx.Conn {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		c, err := pgx.Connect(context.Background(), f.connectionString(n))
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

// exec runs a statement through the first instance. It retries until the
// statement succeeds.
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

// primaryIndex returns the index of the endpoint that is the primary. It inserts a
// row first, so that there is one.
func (f *fleet) primaryIndex() int {
	f.t.Helper()
	c := f.connect(0)
	if _, err := c.Exec(context.Background(), "INSERT INTO jobs (note) VALUES ('probe')"); err != nil {
		f.t.Fatalf("probe: %v", err)
	}
	status := f.runCommand(0, "dump", "--operator", f.instances[0].operatorAddress)
	for n := range domainCount {
		if strings.Contains(status, fmt.Sprintf("\"book\": \"book-%d term", n)) {
			return n
		}
	}
	f.t.Fatalf("no primary in %s", status)
	return 0
}

func TestWriteIsReadThroughAnotherInstance(t *testing.T) {
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

// writeResults records the results of the writers' inserts, by row number.
type writeResults struct {
	mu               sync.Mutex
	acknowledged     map[int]bool
	notRun           map[int]bool
	unknown          map[int]bool
	gaps             []time.Duration
	unexpectedErrors []string
}

func newWriteResults() *writeResults {
	return &writeResults{
		acknowledged: map[int]bool{},
		notRun:       map[int]bool{},
		unknown:      map[int]bool{},
	}
}

func (r *writeResults) record(id int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.acknowledged[id] = true
	case strings.Contains(err.Error(), "not run"):
		r.notRun[id] = true
	case strings.Contains(err.Error(), "outcome unknown"):
		r.unknown[id] = true
	default:
		r.unknown[id] = true
		r.unexpectedErrors = append(r.unexpectedErrors, err.Error())
	}
}

// runWriter inserts numbered rows through the given instances until stop is
// closed. After a lost connection it continues at the next instance.
func (f *fleet) runWriter(results *writeResults, writer int, instances []int, stop <-chan struct{}) {
	ctx := context.Background()
	next := writer
	var conn *pgx.Conn
	lastWriteAt := time.Now()
	for sequence := 0; ; sequence++ {
		select {
		case <-stop:
			return
		default:
		}
		for conn == nil || conn.IsClosed() {
			next++
			var err error
			// Without its statement cache the library sends no messages of its own
			// between two requests.
			conn, err = pgx.Connect(ctx, f.connectionString(instances[next%len(instances)])+"&default_query_exec_mode=exec")
			if err != nil {
				conn = nil
				time.Sleep(5 * time.Millisecond)
			}
			select {
			case <-stop:
				return
			default:
			}
		}
		id := writer*1000000 + sequence + 1
		_, err := conn.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, 'x')", id)
		results.record(id, err)
		if err == nil {
			results.mu.Lock()
			results.gaps = append(results.gaps, time.Since(lastWriteAt))
			results.mu.Unlock()
			lastWriteAt = time.Now()
		}
	}
}

// verify compares the rows in the database with the results that the writers were
// given.
func (f *fleet) verify(results *writeResults, reader *pgx.Conn) {
	f.t.Helper()
	ctx := context.Background()
	rows, err := reader.Query(ctx, "SELECT id FROM jobs WHERE id >= 1000000")
	if err != nil {
		f.t.Fatal(err)
	}
	exists := map[int]bool{}
	for rows.Next() {
		var id int
		if err := rows.Scan(&id); err != nil {
			f.t.Fatal(err)
		}
		exists[id] = true
	}
	if rows.Err() != nil {
		f.t.Fatal(rows.Err())
	}
	for id := range results.acknowledged {
		if !exists[id] {
			f.t.Errorf("row %d was acknowledged but does not exist", id)
		}
	}
	for id := range results.notRun {
		if exists[id] {
			f.t.Errorf("row %d was reported as not run but exists", id)
		}
	}
	f.t.Logf("acknowledged %d, not run %d, unknown %d",
		len(results.acknowledged), len(results.notRun), len(results.unknown))
}

// longestGap returns the longest time between two acknowledged writes of a
// writer.
func (r *writeResults) longestGap() time.Duration {
	longest := time.Duration(0)
	for _, gap := range r.gaps {
		longest = max(longest, gap)
	}
	return longest
}

// writeDuring runs writers while it calls disruption, and returns their results.
func (f *fleet) writeDuring(writers int, instances []int, disruption func()) *writeResults {
	results := newWriteResults()
	stop := make(chan struct{})
	var done sync.WaitGroup
	for w := range writers {
		done.Add(1)
		go func() {
			defer done.Done()
			f.runWriter(results, w+1, instances, stop)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	disruption()
	close(stop)
	done.Wait()
	return results
}

func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	f := newFleet(t)
	results := f.writeDuring(6, []int{0, 1, 2}, func() {
		f.instances[1].command.Process.Signal(syscall.SIGTERM)
		if err := f.instances[1].command.Wait(); err != nil {
			t.Errorf("got exit error %v, want none", err)
		}
		time.Sleep(500 * time.Millisecond)
	})
	for _, text := range results.unexpectedErrors {
		t.Errorf("a request was interrupted: %s", text)
	}
	if len(results.unknown) > 0 {
		t.Errorf("got %d unknown outcomes, want none", len(results.unknown))
	}
	f.verify(results, f.connect(0))
}

func TestPrimaryCrashLosesNoAcknowledgedWrite(t *testing.T) {
	f := newFleet(t)
	primary := f.primaryIndex()
	results := f.writeDuring(4, []int{0, 1, 2}, func() {
		f.endpoints[primary].command.Process.Kill()
		time.Sleep(4 * time.Second)
	})
	f.verify(results, f.connect(0))
	if got, want := results.longestGap(), 3*time.Second; got > want {
		t.Errorf("got a gap of %v, want at most %v", got, want)
	}
	t.Logf("longest gap between acknowledged writes: %v", results.longestGap())
}

func TestFailoverFromFrozenPrimaryWithPlatformDown(t *testing.T) {
	f := newFleet(t)
	primary := f.primaryIndex()
	f.put("http://"+f.platform.address+"/faults", `{"down":true}`)
	results := f.writeDuring(4, []int{0, 1, 2}, func() {
		f.setFaults(primary, `{"frozen":true}`)
		time.Sleep(5 * time.Second)
		f.setFaults(primary, `{}`)
		time.Sleep(time.Second)
	})
	f.verify(results, f.connect(0))
	t.Logf("longest gap between acknowledged writes: %v", results.longestGap())
	if got, want := results.longestGap(), 4*time.Second; got > want {
		t.Errorf("got a gap of %v, want at most %v", got, want)
	}
}

func TestInstanceCrashLosesNoAcknowledgedWrite(t *testing.T) {
	f := newFleet(t)
	primary := f.primaryIndex()
	var others []int
	for n := range domainCount {
		if n != primary {
			others = append(others, n)
		}
	}
	results := f.writeDuring(4, others, func() {
		f.instances[primary].command.Process.Kill()
		time.Sleep(4 * time.Second)
	})
	f.verify(results, f.connect(others[0]))
	t.Logf("longest gap between acknowledged writes: %v", results.longestGap())
	if got, want := results.longestGap(), 4*time.Second; got > want {
		t.Errorf("got a gap of %v, want at most %v", got, want)
	}
}

func TestConfigRolloutAndConflicts(t *testing.T) {
	f := newFleet(t)
	overlay := filepath.Join(t.TempDir(), "overlay.yaml")
	if err := os.WriteFile(overlay, []byte("limits:\n  queue: 77\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	source := []string{"--base", f.basePath, "--overlay", overlay, "--platform", f.platformURL()}
	f.runCommand(0, append([]string{"config", "apply"}, source...)...)
	status := []string{"config", "status", "--follow", "--timeout", "5s", "--revision", "2"}
	for _, i := range f.instances {
		status = append(status, "--operator", i.operatorAddress)
	}
	out := f.runCommand(0, status...)
	if !strings.Contains(out, "revision=2 in-force=3 missing=0") {
		t.Errorf("got %q, want revision 2 in force on 3 instances", out)
	}
	conflicting := append([]string{"config", "apply", "--seen", "1"}, "--base", f.basePath, "--platform", f.platformURL())
	out = f.runCommand(3, conflicting...)
	if !strings.Contains(out, "limits.queue") {
		t.Errorf("got %q, want the conflicting change limits.queue", out)
	}
	text, err := os.ReadFile(f.basePath)
	if err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "other.yaml")
	if err := os.WriteFile(other, bytes.Replace(text, []byte("book-2:"), []byte("book-9:"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	out = f.runCommand(2, "config", "apply", "--base", other, "--platform", f.platformURL())
	if !strings.Contains(out, "endpoints of book") {
		t.Errorf("got %q, want the change of the endpoints of book refused", out)
	}
}
