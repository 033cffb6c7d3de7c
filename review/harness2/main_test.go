//go:build review2

// Package harness2 runs the scripts of the second review: it starts instances as separate
// processes on stand-ins of the platform, of backends and of clients, and checks one rule.
package harness2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	fatal(err)
	return &record{start: time.Now(), out: bufio.NewWriter(f), file: f}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// errNoRun ends a case that could not run.
type errNoRun struct{ error }

func fatal(err error) {
	if err != nil {
		panic(errNoRun{err})
	}
}

// nextHost numbers the loopback hosts of this process, so that the machines of a case may
// use the same ports.
var nextHost = 1

// newHost returns a loopback host of its own for a machine.
func newHost() string {
	pid := os.Getpid()
	nextHost++
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>8)&63, pid&255, nextHost)
}

// machine is an instance, a process of the project.
type machine struct {
	name     string
	host     string
	settings string
	binary   string
	root     string
	logPath  string
	cmd      *exec.Cmd
	done     chan struct{}
	rec      *record
}

const (
	frontPort   = "18784"
	readyPort   = "18785"
	controlPort = "18782"
	storePort   = "18783"
)

func (m *machine) front() string { return net.JoinHostPort(m.host, frontPort) }

// deployment is a small deployment on stand-ins.
type deployment struct {
	rec      *record
	platform *platform
	group    *group
	machines []*machine
	dir      string
	root     string
	routes   []map[string]any
	version  int
	maxConns int
}

func newDeployment(rec *record, dir, root string, machines int) *deployment {
	d := &deployment{rec: rec, dir: dir, root: root, version: 10, maxConns: 16}
	d.group = newGroup(rec, "svc7")
	d.platform = newPlatform(rec, d.group.promote)
	var seeds []string
	for i := range machines {
		host := newHost()
		d.machines = append(d.machines, &machine{
			name: fmt.Sprintf("front-%d", i+1), host: host, root: root, binary: filepath.Join(root, "target", "rosemarylb"),
			rec: rec,
		})
		if i < 3 {
			seeds = append(seeds, net.JoinHostPort(host, controlPort))
		}
	}
	for _, m := range d.machines {
		storeAddress := net.JoinHostPort(newHost(), storePort)
		d.platform.listen(storeAddress)
		settings := map[string]any{
			"node_name": m.name, "role": "proxy", "machine_class": "front", "serves": []string{"front", "control"},
			"ip": m.host, "zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
			"listen_addrs": map[string]string{
				"front": m.front(), "ready": net.JoinHostPort(m.host, readyPort), "control": net.JoinHostPort(m.host, controlPort),
			},
			"port_range": []int{17440, 17455}, "seeds": seeds, "bootstrap": true, "counts_as_loss": false,
			"limits": map[string]any{
				"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0,
			},
			"discovery": "platform", "entry_mode": "vip", "heartbeat_ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 7000,
				"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 4000, "downgrade_slack_ms": 250, "skew_max_ms": 15000,
				"recovery_s": 12, "fencing_enforced": false, "thaw_slack_ms": 300,
			},
			"platform": map[string]any{
				"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
				"value_bytes": 1048576, "ttl_min_ms": 1000,
			},
			"cloud_api": map[string]any{
				"address": storeAddress, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0,
			},
		}
		text, err := json.Marshal(settings)
		fatal(err)
		m.settings = filepath.Join(dir, m.name+".json")
		m.logPath = filepath.Join(dir, m.name+".log")
		fatal(os.WriteFile(m.settings, text, 0o600))
	}
	return d
}

// configure writes the operator's configuration with the next version.
func (d *deployment) configure() {
	d.version += 3
	c := map[string]any{
		"version": d.version, "routes": d.routes, "limits": map[string]any{"tx_idle_ms": 3000},
		"services": []map[string]any{{"name": d.group.name, "max_conns": d.maxConns, "sync_replicas": d.syncReplicas()}},
	}
	d.platform.put("config", "main", c)
}

// startBackends starts three backends, the first of which leads.
func (d *deployment) startBackends() {
	for i := range 3 {
		d.startBackend(fmt.Sprintf("i-%d", i+1))
	}
}

func (d *deployment) startBackend(id string) *backend {
	b := d.group.start(id, net.JoinHostPort(newHost(), "18080"))
	go b.heartbeat(d.platform)
	return b
}

func (m *machine) start() {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	fatal(err)
	defer func() { _ = log.Close() }()
	// The command of the deploy file.
	m.cmd = exec.Command(m.binary, "host")
	m.cmd.Dir = m.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C", "ROSEMARYLB_BOOT=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fatal(m.cmd.Start())
	m.rec.line("machine: %s started, process %d", m.name, m.cmd.Process.Pid)
	done := make(chan struct{})
	m.done = done
	go func() {
		err := m.cmd.Wait()
		m.rec.line("machine: %s ended: %v", m.name, err)
		close(done)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.rec.line("machine: %s gets signal %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
	_ = m.cmd.Process.Kill()
	<-m.done
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + net.JoinHostPort(m.host, readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (d *deployment) startMachines() {
	for _, m := range d.machines {
		m.start()
	}
	d.awaitReady(d.machines...)
}

func (d *deployment) awaitReady(machines ...*machine) {
	end := time.Now().Add(20 * time.Second)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(end) {
				fatal(fmt.Errorf("%s is not ready after 20 s", m.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (d *deployment) stop() {
	for _, m := range d.machines {
		m.kill()
	}
}

// TestMain runs the case that the command line names: CASE ROOT FOLDER.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Println("usage: harness2 CASE ROOT FOLDER")
		os.Exit(exitNoRun)
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Println("unknown case")
		os.Exit(exitNoRun)
	}
	os.Exit(play(run, os.Args[2], os.Args[3]))
}

// play runs a case. A case that takes longer than 110 s has not run.
func play(run func(c *caseRun) (broken bool), root, folder string) (code int) {
	c := &caseRun{rec: newRecord(filepath.Join(folder, "record.txt")), root: root, trouble: os.Getenv("TROUBLE") != "0"}
	defer c.rec.close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return exitNoRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	c.dir = dir
	defer func() {
		if c.d != nil {
			c.d.stop()
		}
		if r := recover(); r != nil {
			no, ok := r.(errNoRun)
			if !ok {
				panic(r)
			}
			fmt.Println("not run:", no.error)
			c.rec.line("not run: %v", no.error)
			code = exitNoRun
		}
	}()
	time.AfterFunc(110*time.Second, func() {
		fmt.Println("not run: took too long")
		c.rec.close()
		if c.d != nil {
			c.d.stop()
		}
		os.Exit(exitNoRun)
	})
	c.rec.line("case begins, trouble %v", c.trouble)
	if run(c) {
		c.rec.line("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	c.rec.line("the rule held")
	fmt.Println("held")
	return exitHeld
}

// caseRun is one run of a case.
type caseRun struct {
	rec     *record
	root    string
	dir     string
	trouble bool
	d       *deployment
}

var cases = map[string]func(c *caseRun) (broken bool){
	"transaction-setup": transactionSetup,
	"drain-reply":       drainReply,
	"sync-replica":      syncReplica,
}

// syncReplicas returns the number of replicas that a commit waits for.
func (d *deployment) syncReplicas() int {
	if d.group.sync {
		return 1
	}
	return 0
}
