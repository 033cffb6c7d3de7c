//go:build review

// Package standin runs the cases of the review that are scripts. It starts the
// project's program as separate processes, and plays the platform, the backends and
// the clients. It is a test binary so that it stays out of the default build; build
// it with review/build.sh.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/experiment/soak"
	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

// Figures of the site svr-oman or kmlf-pool, or of DEPLOY.md.
const (
	graceSeconds      = 6
	heartbeatInterval = 1200 * time.Millisecond
	restartDelay      = 500 * time.Millisecond
	backendsPerGroup  = 3
	readyInterval     = time.Second
	startTimeout      = 20 * time.Second
)

// zones are the failure domains, as on the sheets: two in one region, one in another.
var zones = map[string]string{
	"zone-a": "region-1",
	"zone-b": "region-1",
	"zone-c": "region-2",
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// shape is the size of a deployment.
type shape struct {
	machines      int
	services      int
	statementTime time.Duration
	lag           time.Duration
	promoteDelay  time.Duration
	connections   int
	routeTimeout  time.Duration
}

// recorder writes record.txt. Its times count from the start of the deployment.
type recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	file      *os.File
}

func (r *recorder) notef(format string, arguments ...any) {
	r.noteAtf(time.Now(), format, arguments...)
}

// noteAnswer notes a statement that a client sent, and its answer.
func (r *recorder) noteAnswer(m *machine, a answer) {
	code := a.code
	if code == "" {
		code = "none, the connection ended"
	}
	r.noteAtf(a.sentAt, "sent %s to %s: %s; answer after %.1f ms: %s %s", a.id, m.name, a.text,
		a.answeredAt.Sub(a.sentAt).Seconds()*1000, code, a.signature)
}

// noteRuns notes the statements of clients that the backends ran.
func (d *deployment) noteRuns() {
	for _, g := range d.groups {
		for _, e := range g.Executions() {
			d.noteAtf(e.RanAt, "ran %s at %s: %s", e.ID, e.Server, e.Text)
		}
	}
}

func (r *recorder) noteAtf(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f %s\n", at.Sub(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// machine is one machine of the system, with its process.
type machine struct {
	name      string
	zone      string
	ip        string
	storeLink *soak.Link

	mu         sync.Mutex
	process    *os.Process
	closed     bool
	misses     int
	inRotation bool
}

func (m *machine) front() string {
	return m.ip + ":8784"
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Signal(s)
	}
}

// takesConnections reports whether the platform sends new connections to the machine.
func (m *machine) takesConnections() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inRotation
}

// backend is a database server and its registration.
type backend struct {
	server   *line.Server
	group    string
	zone     string
	born     int64
	sequence int
	draining bool
	stopped  time.Time
}

// deployment is the whole system: the machines, the platform and the backends.
type deployment struct {
	*recorder
	shape      shape
	folder     string
	store      *objects.Store
	groups     map[string]*line.Group
	groupNames []string
	machines   []*machine
	cloudURL   string
	cleanups   []func()
	done       chan struct{}

	mu       sync.Mutex
	backends []*backend
	// cloudSilentUntil is until when the promotion API answers nothing.
	cloudSilentUntil time.Time
	// lastWriter is the machine that last wrote to the store under a condition.
	lastWriter *machine
}

// newDeployment starts a deployment and waits until all machines are ready.
func newDeployment(s shape, caseFolder string) (*deployment, error) {
	file, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		recorder: &recorder{startedAt: time.Now(), file: file},
		shape:    s,
		folder:   folder,
		groups:   map[string]*line.Group{},
		done:     make(chan struct{}),
	}
	d.cleanups = append(d.cleanups, func() {
		_ = os.RemoveAll(folder)
		_ = file.Close()
	})
	d.store = objects.NewStore(func(group, id string) bool {
		g, found := d.groups[group]
		return found && g.Promote(id)
	})
	if err := d.start(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) stop() {
	close(d.done)
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

func (d *deployment) start() error {
	for n := range d.shape.services {
		if err := d.startGroup("jobbook" + strconv.Itoa(n)); err != nil {
			return err
		}
	}
	d.publishConfig()
	cloud := httptest.NewUnstartedServer(http.HandlerFunc(d.serveCloud))
	cloud.Config.ErrorLog = log.New(io.Discard, "", 0)
	cloud.Start()
	d.cloudURL = strings.TrimPrefix(cloud.URL, "http://")
	d.cleanups = append(d.cleanups, cloud.CloseClientConnections)
	block := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 2+rand.IntN(250))
	for n := range d.shape.machines {
		if err := d.startMachine(n, block+strconv.Itoa(n+1)); err != nil {
			return err
		}
	}
	go d.writeHeartbeats()
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Since(d.startedAt) > startTimeout {
				return fmt.Errorf("%s isn't ready after %s", m.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
		m.inRotation = true
	}
	go d.askReady()
	d.notef("all machines are ready")
	return nil
}

func (d *deployment) startGroup(name string) error {
	g := line.NewGroup(name,
		line.WithLag(d.shape.lag),
		line.WithPromotionDelay(d.shape.promoteDelay, time.Second),
		line.WithStatementTime(d.shape.statementTime),
		line.WithConnectionLimit(d.shape.connections),
		line.WithNumberedSignatures())
	d.groups[name] = g
	d.groupNames = append(d.groupNames, name)
	for n := range backendsPerGroup {
		if _, err := d.startBackend(name, name+"-i"+strconv.Itoa(n), zoneNames[n%len(zoneNames)]); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startBackend(group, id, zone string) (*backend, error) {
	server, err := line.StartServer(d.groups[group], id)
	if err != nil {
		return nil, err
	}
	d.cleanups = append(d.cleanups, server.Stop)
	b := &backend{
		server: server,
		group:  group,
		zone:   zone,
		born:   time.Now().UnixMilli(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backends = append(d.backends, b)
	d.register(b)
	return b, nil
}

// register writes a backend's entry. The caller holds the lock.
func (d *deployment) register(b *backend) {
	state, role := "ready", "replica"
	if b.draining {
		state = "draining"
	}
	if b.server.IsPrimary() {
		role = "primary"
	}
	b.sequence++
	d.store.Put("servers", b.server.ID(), map[string]any{
		"service": b.group, "address": b.server.Address(), "zone": b.zone, "version": "1", "slots": 2,
		"state": state, "cold_left_ms": 0, "seq_no": b.sequence, "born": b.born, "db_role": role,
	})
}

func (d *deployment) writeHeartbeats() {
	ticks := time.NewTicker(heartbeatInterval)
	defer ticks.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-ticks.C:
		}
		d.mu.Lock()
		for _, b := range d.backends {
			switch {
			case b.stopped.IsZero():
				d.register(b)
			case time.Since(b.stopped) > 3*heartbeatInterval:
				d.store.Delete("servers", b.server.ID())
			}
		}
		d.mu.Unlock()
	}
}

// drain makes a backend report that it is draining. The entry changes at once.
func (d *deployment) drain(b *backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.draining = true
	d.register(b)
}

// crash stops a backend. It says nothing; its entry expires.
func (d *deployment) crash(b *backend) {
	d.mu.Lock()
	b.stopped = time.Now()
	d.mu.Unlock()
	b.server.Stop()
}

// restart starts a backend again after a crash, with its log.
func (d *deployment) restart(b *backend) error {
	if err := b.server.Restart(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b.stopped = time.Time{}
	b.born = time.Now().UnixMilli()
	d.register(b)
	return nil
}

// primaryOf returns the backend that leads a group.
func (d *deployment) primaryOf(group string) *backend {
	id, _ := d.groups[group].Leader()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		if b.server.ID() == id {
			return b
		}
	}
	return nil
}

// publishConfig writes the operator's configuration: three routes for each service.
func (d *deployment) publishConfig() {
	var routes, services []map[string]any
	for _, g := range d.groupNames {
		for rank, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
			routes = append(routes, map[string]any{
				"database": g + "-" + kind, "route_type": kind, "service": g, "priority": rank,
				"timeout_ms": d.shape.routeTimeout.Milliseconds(), "max_staleness_ms": 1500, "target_latency_ms": 800,
			})
		}
		services = append(services, map[string]any{"name": g, "max_conns": d.shape.connections})
	}
	d.store.Put("config", "main", map[string]any{
		"version": 7, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 5000},
	})
}

// serveCloud serves the promotion API.
func (d *deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	silent := time.Now().Before(d.cloudSilentUntil)
	d.mu.Unlock()
	if silent {
		// The API is down: it neither carries out nor answers the call.
		_, _ = io.Copy(io.Discard, r.Body)
		d.notef("promote by %s, token %s: no answer, the API is down", r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		select {
		case <-r.Context().Done():
		case <-d.done:
		}
		return
	}
	d.notef("promote by %s, token %s: received", r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
	d.store.ServeHTTP(w, r)
}

// startMachine starts a machine with its own path to the store.
func (d *deployment) startMachine(number int, ip string) error {
	m := &machine{
		name: "front-" + strconv.Itoa(number+1),
		zone: zoneNames[number%len(zoneNames)],
		ip:   ip,
	}
	view := d.store.View(func(_ string, spec json.RawMessage) json.RawMessage { return spec })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			d.mu.Lock()
			d.lastWriter = m
			d.mu.Unlock()
			d.notef("store: %s %s by %s", r.Method, strings.TrimPrefix(r.URL.Path, "/"), m.name)
		}
		view.ServeHTTP(w, r)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	link, stopLink, err := soak.NewLink(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return err
	}
	m.storeLink = link
	d.cleanups = append(d.cleanups, server.CloseClientConnections, stopLink)
	text, err := json.Marshal(map[string]any{
		"node_name": m.name, "role": "proxy", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": ip, "zone": m.zone, "region": zones[m.zone], "zones": zones,
		"listen_addrs": map[string]string{"front": m.front(), "ready": ip + ":8785", "control": ip + ":8782"},
		"port_range":   []int{7440, 7455}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":  nil,
		"discovery": "platform", "entry_mode": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"bounds": map[string]any{
			"stable_window_ms": 5000, "drain_ms": 7000, "grace_s": graceSeconds, "loss_slack_ms": 200,
			"config_apply_ms": 4000, "recovery_s": 12, "fencing_enforced": false, "thaw_slack_ms": 300,
		},
		"platform":  map[string]any{"address": link.Address(), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
		"cloud_api": map[string]any{"address": d.cloudURL, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	})
	if err != nil {
		return err
	}
	settings := filepath.Join(d.folder, m.name+".json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.runProcess(m, settings)
	}()
	d.cleanups = append(d.cleanups, func() {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-ended
	})
	d.machines = append(d.machines, m)
	return nil
}

// runProcess runs the command of the deploy file, and starts it again after an exit.
func (d *deployment) runProcess(m *machine, settings string) {
	// The kernel kills the process when the thread that started it ends.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		output, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return
		}
		c := exec.Command("target/rosemarylb", "host")
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		c.Env = []string{"ROSEMARYLB_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=2"}
		c.Stdout, c.Stderr = output, output
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			_ = output.Close()
			return
		}
		err = c.Start()
		m.process = c.Process
		m.mu.Unlock()
		if err != nil {
			d.notef("%s can't be started: %v", m.name, err)
			return
		}
		d.notef("%s starts", m.name)
		_ = c.Wait()
		_ = output.Close()
		d.notef("%s has ended: %v", m.name, c.ProcessState)
		m.mu.Lock()
		m.process = nil
		closed := m.closed
		m.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(restartDelay)
	}
}

// isReady asks the machine's readiness check once.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + m.ip + ":8785/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// askReady asks each machine once a second, as the platform does. Two misses take it
// out of rotation.
func (d *deployment) askReady() {
	for {
		select {
		case <-d.done:
			return
		case <-time.After(readyInterval):
		}
		for _, m := range d.machines {
			go func() {
				ready := m.isReady()
				m.mu.Lock()
				defer m.mu.Unlock()
				m.misses++
				if ready {
					m.misses = 0
				}
				m.inRotation = m.misses < 2
			}()
		}
	}
}

// holder returns the machine that last wrote to the store under a condition.
func (d *deployment) holder() *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastWriter
}
