package exhaustion

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/loopback"
	"rosemarylb/internal/standin/objects"
)

const (
	// memoryMegabytes and maxDescriptors are the limits of the tested process, and
	// the bounds that the tests check.
	memoryMegabytes = 128
	maxDescriptors  = 256
	// serviceTimeout ends a test whose process serves no request. It leaves room
	// for a slow machine.
	serviceTimeout = 30 * time.Second
	// sampleInterval is the time between two counts of the open descriptors.
	sampleInterval = 10 * time.Millisecond
	database       = "stock-primary"
	group          = "stock"
	primary        = "stock-0"
)

// binaryFolder is the folder of the built programs.
var binaryFolder string

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
	binaryFolder = folder
	build := exec.Command("go", "build", "-o", folder, "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// process is a running program and what was seen of it.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	// output is the path of the file with the output.
	output         string
	maxDescriptors atomic.Int64
}

// startProcess starts a program. Its output goes to a file that is shown if the test
// fails.
func startProcess(t *testing.T, name string, environment []string, args ...string) *process {
	t.Helper()
	p := &process{
		t:       t,
		command: exec.Command(filepath.Join(binaryFolder, name), args...),
		exited:  make(chan struct{}),
	}
	output, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	p.output = output.Name()
	p.command.Stdout = output
	p.command.Stderr = output
	p.command.Env = append(os.Environ(), environment...)
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.command.Wait()
		close(p.exited)
	}()
	go p.sampleDescriptors()
	t.Cleanup(func() {
		p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			text, _ := os.ReadFile(p.output)
			t.Logf("last output of %s:\n%s", name, text[max(0, len(text)-2000):])
		}
		output.Close()
	})
	return p
}

func (p *process) folder() string {
	return "/proc/" + strconv.Itoa(p.command.Process.Pid)
}

// sampleDescriptors counts the open descriptors until the process ends.
func (p *process) sampleDescriptors() {
	for {
		entries, _ := os.ReadDir(p.folder() + "/fd")
		p.maxDescriptors.Store(max(p.maxDescriptors.Load(), int64(len(entries))))
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// peakMegabytes returns the highest resident memory of the process so far, in MiB.
func (p *process) peakMegabytes() int {
	text, err := os.ReadFile(p.folder() + "/status")
	if err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
	for status := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(status, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	p.t.Fatal("the process has ended: no VmHWM")
	return 0
}

// checkLimits checks that the process lives and has stayed within its limits.
func (p *process) checkLimits() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v", p.command.ProcessState)
	default:
	}
	got, peak := p.maxDescriptors.Load(), p.peakMegabytes()
	p.t.Logf("peak: %d MiB, %d descriptors", peak, got)
	if peak > memoryMegabytes {
		p.t.Errorf("got a peak of %d MiB of resident memory, want at most %d", peak, memoryMegabytes)
	}
	if got > maxDescriptors {
		p.t.Errorf("got %d open descriptors, want at most %d", got, maxDescriptors)
	}
}

// host is an instance before stand-ins of the platform.
type host struct {
	*process

	frontAddress, relayAddress, readyAddress, controlAddress, metricsAddress string
}

func newAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startHost starts an instance and waits until it serves a request.
func startHost(t *testing.T) *host {
	t.Helper()
	g := line.NewGroup(group, line.WithStatementTime(20*time.Millisecond))
	store := objects.NewStore(func(_, id string) bool {
		return g.Promote(id)
	})
	platform := httptest.NewServer(store)
	t.Cleanup(func() {
		platform.CloseClientConnections()
		platform.Close()
	})
	for n := range 3 {
		s, err := line.StartServer(g, group+"-"+strconv.Itoa(n))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
		role := "replica"
		if n == 0 {
			role = "primary"
		}
		store.Put("servers", s.ID(), map[string]any{
			"service": group, "address": s.Address(), "zone": "a", "slots": 2, "state": "ready",
			"version": "1", "cold_left_ms": 0, "seq_no": 1, "born": time.Now().UnixMilli(), "db_role": role,
		})
	}
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"database": database, "route_type": "primary", "service": group, "priority": 1, "timeout_ms": 3000,
		}},
		"services": []map[string]any{{"name": group, "max_conns": 16}},
		"limits":   map[string]any{"tx_idle_ms": 2000},
	})
	h := &host{
		frontAddress:   newAddress(t),
		relayAddress:   newAddress(t),
		readyAddress:   newAddress(t),
		controlAddress: newAddress(t),
		metricsAddress: newAddress(t),
	}
	settings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(settings, h.settings(t, strings.TrimPrefix(platform.URL, "http://")), 0o600); err != nil {
		t.Fatal(err)
	}
	_, metricsPort, _ := net.SplitHostPort(h.metricsAddress)
	h.process = startProcess(t, "rosemarylb", nil, "host", "--settings", settings, "--metrics-port", metricsPort)
	h.checkServes()
	return h
}

func (h *host) settings(t *testing.T, platformAddress string) []byte {
	ip, port, _ := net.SplitHostPort(h.relayAddress)
	relayPort, _ := strconv.Atoi(port)
	text, err := json.Marshal(map[string]any{
		"node_name": "front-0", "role": "proxy", "ip": ip, "zone": "a", "region": "north",
		"zones": map[string]string{"a": "north"},
		"listen_addrs": map[string]string{
			"front": h.frontAddress, "ready": h.readyAddress, "control": h.controlAddress,
		},
		"port_range": []int{relayPort, relayPort},
		"limits":     map[string]any{"memory_mb": memoryMegabytes, "max_fds": maxDescriptors},
		"bounds":     map[string]any{"grace_s": 6},
		"platform":   map[string]any{"address": platformAddress},
		"cloud_api":  map[string]any{"address": platformAddress},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkServes checks that the instance answers a request on a new connection, and
// that it is ready. It repeats the request, as an instance may refuse some.
func (h *host) checkServes() {
	h.t.Helper()
	h.checkAnswers("READ item")
	checkStatus(h.t, "http://"+h.readyAddress+"/ready")
}

func (h *host) checkAnswers(statement string) {
	h.t.Helper()
	retry(h.t, func() error {
		return ask(h.frontAddress, statement)
	})
}

// ask runs a statement on a new connection.
func ask(address, statement string) error {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte("CONNECT " + database + " -\r\nQUERY ask " + statement + "\r\n")); err != nil {
		return err
	}
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.HasPrefix(text, "COMPLETE") {
			return nil
		}
		if strings.HasPrefix(text, "ERROR") {
			return fmt.Errorf("got %.100q, want COMPLETE", text)
		}
	}
}

// checkStatus checks that a URL answers with status 200.
func checkStatus(t *testing.T, url string) {
	t.Helper()
	client := http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	retry(t, func() error {
		response, err := client.Get(url)
		if err != nil {
			return err
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("got status %d of %s, want 200", response.StatusCode, url)
		}
		return nil
	})
}

// retry calls attempt until it succeeds, and fails the test after serviceTimeout.
func retry(t *testing.T, attempt func() error) {
	t.Helper()
	deadline := time.Now().Add(serviceTimeout)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no answer to an ordinary request: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
