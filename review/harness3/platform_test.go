//go:build review

package harness3

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

const (
	serviceName       = "svc"
	heartbeatInterval = 1200 * time.Millisecond
	graceSeconds      = 6
	readyTimeout      = 20 * time.Second
	// The figures of a database are those of the sheet of kmlf-pool-grown.
	replicaLag     = 150 * time.Millisecond
	promotionDelay = time.Second
	maxConnections = 46
)

// zones maps each zone to its region.
var zones = map[string]string{"a": "north", "b": "north", "c": "south"}

// platform is the users' platform: the store, the promotions, and one database with its
// servers.
type platform struct {
	run   *run
	store *objects.Store
	// promoteAddress is where promotions are asked for.
	promoteAddress string
	// views are the stores as the machines see them, by the number of the machine.
	views   map[int]*storeView
	group   *line.Group
	servers []*line.Server
	// gates are what stands between the machines and each server.
	gates []*gate

	mu       sync.Mutex // guards the fields below
	sequence int
	bornAt   int64
}

// startPlatform starts a store and a database of three servers.
func startPlatform(r *run, options ...line.GroupOption) (*platform, error) {
	options = append([]line.GroupOption{
		line.WithLag(replicaLag), line.WithPromotionDelay(promotionDelay, time.Second),
		line.WithStatementTime(3 * time.Millisecond), line.WithConnectionLimit(maxConnections),
	}, options...)
	p := &platform{
		run:    r,
		group:  line.NewGroup(serviceName, options...),
		bornAt: time.Now().UnixMilli(),
		views:  map[int]*storeView{},
	}
	p.store = objects.NewStore(func(group, id string) bool {
		return group == serviceName && p.group.Promote(id)
	})
	address, err := serve(r, p.newView())
	if err != nil {
		return nil, err
	}
	p.promoteAddress = address
	for i := range 3 {
		s, err := line.StartServer(p.group, "e"+strconv.Itoa(i))
		if err != nil {
			return nil, err
		}
		r.onCleanUp(s.Stop)
		p.servers = append(p.servers, s)
		g, err := startGate(r, s.Address())
		if err != nil {
			return nil, err
		}
		p.gates = append(p.gates, g)
	}
	p.heartbeat()
	stop := make(chan struct{})
	r.onCleanUp(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
				p.heartbeat()
			}
		}
	}()
	return p, nil
}

// storeView is the store as one machine sees it.
type storeView struct {
	view *objects.View

	mu       sync.Mutex // guards the fields below
	rejected bool
	// calls ends when the store turns the machine away.
	calls context.Context
	end   context.CancelFunc
}

func (p *platform) newView() *storeView {
	v := &storeView{
		view: p.store.View(func(_ string, spec json.RawMessage) json.RawMessage { return spec }),
	}
	v.calls, v.end = context.WithCancel(context.Background())
	return v
}

// ServeHTTP implements http.Handler. A machine that is turned away gets 503, and its
// watches that wait are cut off.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	rejected, calls := v.rejected, v.calls
	v.mu.Unlock()
	if rejected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(calls, cancel)()
	v.view.ServeHTTP(w, r.WithContext(ctx))
	if calls.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (v *storeView) reject(rejected bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejected = rejected
	v.end()
	v.calls, v.end = context.WithCancel(context.Background())
}

// rejectMachines makes the store answer 503 to machines, or serve them again.
func (p *platform) rejectMachines(rejected bool, machines ...int) {
	for _, m := range machines {
		p.views[m].reject(rejected)
	}
}

// holder returns the name of the instance that holds the lease, by the store.
func (p *platform) holder() (name string, token uint64) {
	recorder := httptest.NewRecorder()
	p.store.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/objects/rosemarylb/keeper", nil))
	var o struct {
		Spec struct {
			Holder string `json:"holder"`
			Token  uint64 `json:"token"`
		} `json:"spec"`
	}
	_ = json.Unmarshal(recorder.Body.Bytes(), &o)
	return o.Spec.Holder, o.Spec.Token
}

// serve serves HTTP on a free loopback address.
func serve(r *run, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Second,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(l) }()
	r.onCleanUp(func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// heartbeat writes the entries of all servers.
func (p *platform) heartbeat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	for i, s := range p.servers {
		role := "replica"
		if s.IsPrimary() {
			role = "primary"
		}
		p.store.Put("servers", s.ID(), map[string]any{
			"service": serviceName, "address": p.gates[i].address(), "zone": string(rune('a' + i)), "version": "v1", "slots": 2,
			"state": "ready", "cold_left_ms": 0, "db_role": role, "seq_no": p.sequence, "born": p.bornAt,
		})
	}
}

// routeTypes are the kinds of routes; each has a database of its name.
var routeTypes = []string{"primary", "bounded_staleness", "read_your_writes"}

// putConfig writes the configuration.
func (p *platform) putConfig(version int, timeout time.Duration) {
	var routes []map[string]any
	for i, kind := range routeTypes {
		routes = append(routes, map[string]any{
			"name": "r-" + kind, "database": kind, "path_prefix": "/", "route_type": kind, "service": serviceName,
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 800, "priority": i, "attempts": 2,
			"max_staleness_ms": 1500,
		})
	}
	p.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/health", "max_conns": maxConnections, "protocol": "h1", "tls": false, "sync_replicas": 0,
		}},
		"limits": map[string]any{"tx_idle_ms": 3000},
	})
}

// instance is a process of the program.
type instance struct {
	run   *run
	name  string
	ip    string
	front string
	// settings is the path of the settings file.
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// host returns the loopback address of a machine, which belongs to this process.
func host(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 130+pid>>16&31, pid>>4&255, pid&15*16+machine+1)
}

// startDelay is how much earlier the first machine starts than the others.
const startDelay = 300 * time.Millisecond

// startInstances starts instances and waits until all are ready.
func (p *platform) startInstances(count int) ([]*instance, error) {
	var all []*instance
	for i := range count {
		started, err := p.startInstance(i)
		if err != nil {
			return nil, err
		}
		all = append(all, started)
		if i == 0 {
			time.Sleep(startDelay)
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, i := range all {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return all, nil
}

func (p *platform) startInstance(number int) (*instance, error) {
	ip := host(number)
	p.views[number] = p.newView()
	storeAddress, err := serve(p.run, p.views[number])
	if err != nil {
		return nil, err
	}
	zone := string(rune('a' + number%len(zones)))
	i := &instance{
		run:   p.run,
		name:  "front-" + zone + "-" + strconv.Itoa(number),
		ip:    ip,
		front: ip + ":8784",
	}
	var seeds []string
	for s := range 3 {
		seeds = append(seeds, host(s)+":8782")
	}
	settings, err := json.Marshal(map[string]any{
		"node_name": i.name, "role": "proxy", "machine_class": "front", "serves": []string{"front", "control"}, "ip": ip,
		"zone": zone, "region": zones[zone], "zones": zones,
		"listen_addrs": map[string]string{"front": i.front, "ready": ip + ":8785", "control": ip + ":8782"},
		"port_range":   []int{7440, 7455}, "seeds": seeds, "bootstrap": true,
		"limits": map[string]any{
			"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4400, "link_mbps": 200.0, "disk_mb": 0,
		},
		"heartbeat_ms": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{
			"stable_window_ms": 6000, "drain_ms": 10000, "grace_s": graceSeconds, "loss_slack_ms": 200, "config_apply_ms": 6000,
		},
		"platform":  map[string]any{"address": storeAddress, "form": "objects"},
		"cloud_api": map[string]any{"address": p.promoteAddress, "duties": []string{"failover"}},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.run.folder, i.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	i.settings = path
	if err := i.start(); err != nil {
		return nil, err
	}
	p.run.onCleanUp(func() {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.ended
	})
	return i, nil
}

// start starts the process of the instance, which must not run.
func (i *instance) start() error {
	log := filepath.Join(i.run.folder, i.name+".log")
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(i.run.program, "host")
	command.Env = []string{"ROSEMARYLB_BOOT=" + i.settings, "PATH=" + os.Getenv("PATH")}
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.command, i.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if it has not ended.
func (i *instance) signal(s syscall.Signal) {
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Signal(s)
	}
}

// isReady reports whether the platform would send callers to the instance.
func (i *instance) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + i.ip + ":8785/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
