// Package soak runs instances as separate processes on stand-ins of the users'
// platform, injects faults by a seeded plan, and checks what callers and endpoints
// observe.
package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

const (
	// routeTimeout is the timeout in the configuration of all routes.
	routeTimeout = 1500 * time.Millisecond
	// stableWindow is the time without faults after which time limits hold.
	stableWindow = 5 * time.Second
	// drainPeriod is the time for which a draining endpoint may still get requests.
	drainPeriod = 7 * time.Second
	// graceSeconds is the grace period of an instance's shutdown.
	graceSeconds = 6
	// recoveryTimeout is the time after the last fault within which all routes have
	// to be served.
	recoveryTimeout = 12 * time.Second
	// heartbeatInterval is the time between two registrations of an endpoint.
	heartbeatInterval = 1200 * time.Millisecond
	// groupSize is the number of endpoints in a replication group.
	groupSize = 3
	// proxyKind is the kind of the instances' own objects, recordName the name of the one
	// that names the holder of the lease.
	proxyKind  = "rosemarylb"
	recordName = "keeper"
	// connectionLimit is the connection limit of an endpoint.
	connectionLimit = 16
)

// zoneRegions maps each zone, a failure domain, to its region.
var zoneRegions = map[string]string{"a": "north", "b": "north", "c": "south"}

// instance is a process and its network links.
type instance struct {
	name         string
	zone         string
	frontAddress string
	process      *Process
	storeLink    *Link
	storeView    *objects.View
	// endpointLinks are the links to the endpoints, by endpoint name.
	endpointLinks map[string]*Link
	// peerLinks are the links to the other instances, by instance name, in runs that have
	// them.
	peerLinks map[string]*Link
}

// endpoint is a database server and its registration in the store.
type endpoint struct {
	server        *line.Server
	group         string
	zone          string
	startedMillis int64
	sequence      int
	draining      bool
	drainingSince time.Time
	down          bool
	downSince     time.Time
	// reserved is true while a step of the plan may stop it.
	reserved bool
}

// Harness runs the instances and the stand-ins that they talk to.
type Harness struct {
	seed         uint64
	network      network
	folder       string
	recorder     *Recorder
	store        *objects.Store
	groups       map[string]*line.Group
	groupNames   []string
	instances    []*instance
	sessionCount atomic.Int64
	stopping     atomic.Bool
	cleanups     []func()

	mu               sync.Mutex
	endpoints        []*endpoint
	configVersion    int
	activeFaults     int
	lastFaultEndedAt time.Time
}

// newHarness starts a harness. The returned function stops it with all instances
// and stand-ins.
func newHarness(o Options) (*Harness, func(), error) {
	h := &Harness{
		seed:     o.Seed,
		folder:   o.Folder,
		recorder: newRecorder(),
		groups:   map[string]*line.Group{},
	}
	h.store = objects.NewStore(func(group, id string) bool {
		g, found := h.groups[group]
		return found && g.Promote(id)
	})
	if err := h.start(o); err != nil {
		h.cleanup()
		return nil, nil, err
	}
	return h, h.cleanup, nil
}

func (h *Harness) cleanup() {
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
}

func (h *Harness) start(o Options) error {
	reserved, release, err := reserveNetwork(o.Seed)
	if err != nil {
		return err
	}
	h.network = reserved
	h.cleanups = append(h.cleanups, release)
	for g := range o.Groups {
		if err := h.startGroup("svc"+strconv.Itoa(g), o.SyncReplicas); err != nil {
			return err
		}
	}
	h.publishConfig()
	for i := range o.Instances {
		if err := h.startInstance(i, o); err != nil {
			return err
		}
	}
	heartbeats := time.NewTicker(heartbeatInterval)
	stop := make(chan struct{})
	duty.Spawn(func() {
		for {
			select {
			case <-heartbeats.C:
				h.writeAllHeartbeats()
			case <-stop:
				return
			}
		}
	})
	h.cleanups = append(h.cleanups, func() {
		heartbeats.Stop()
		close(stop)
	})
	return nil
}

func (h *Harness) startGroup(name string, isSynchronous bool) error {
	options := []line.GroupOption{
		line.WithLag(30 * time.Millisecond), line.WithPromotionDelay(promotionDelay, time.Second),
		line.WithStatementTime(3 * time.Millisecond), line.WithConnectionLimit(connectionLimit), line.WithNumberedSignatures(),
	}
	if isSynchronous {
		options = append(options, line.WithSynchronousReplica())
	}
	g := line.NewGroup(name, options...)
	h.groups[name] = g
	h.groupNames = append(h.groupNames, name)
	for i := range groupSize {
		s, err := line.StartServer(g, name+"e"+strconv.Itoa(i))
		if err != nil {
			return err
		}
		h.cleanups = append(h.cleanups, s.Stop)
		e := &endpoint{
			server:        s,
			group:         name,
			zone:          string(rune('a' + i%len(zoneRegions))),
			startedMillis: time.Now().UnixMilli(),
		}
		h.endpoints = append(h.endpoints, e)
		h.writeHeartbeat(e)
	}
	return nil
}

// writeHeartbeat writes an endpoint's registration to the store. The caller holds
// the lock, or the harness isn't shared yet.
func (h *Harness) writeHeartbeat(e *endpoint) {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	role := "replica"
	if e.server.IsPrimary() {
		role = "primary"
	}
	e.sequence++
	h.store.Put("servers", e.server.ID(), map[string]any{
		"service": e.group, "address": e.server.Address(), "zone": e.zone, "slots": 2, "state": state,
		"version": "1", "cold_left_ms": 0, "seq_no": e.sequence, "born": e.startedMillis, "db_role": role,
	})
}

// writeAllHeartbeats writes the registrations of the running endpoints and removes
// those of endpoints that have been down for three intervals.
func (h *Harness) writeAllHeartbeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		switch {
		case !e.down:
			h.writeHeartbeat(e)
		case time.Since(e.downSince) > 3*heartbeatInterval:
			h.store.Delete("servers", e.server.ID())
		}
	}
}

// publishConfig publishes the next configuration: the routes of all groups and two
// routes named after this version and the one before, by which checkConfig
// recognizes the version in force.
func (h *Harness) publishConfig() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion += 3
	h.putConfig()
}

// writeConfigAgain writes the last configuration again.
func (h *Harness) writeConfigAgain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.putConfig()
}

// putConfig writes the configuration. The caller holds the lock.
func (h *Harness) putConfig() {
	var routes, services []map[string]any
	for _, g := range h.groupNames {
		for rank, k := range routeKinds {
			routes = append(routes, map[string]any{
				"database": g + "-" + k.name, "route_type": k.name, "service": g, "priority": rank,
				"timeout_ms": routeTimeout.Milliseconds(), "max_staleness_ms": k.staleness.Milliseconds(),
			})
		}
		syncReplicas := 0
		if h.groups[g].IsSynchronous() {
			syncReplicas = 1
		}
		services = append(services, map[string]any{
			"name": g, "max_conns": connectionLimit, "sync_replicas": syncReplicas,
		})
	}
	for _, v := range []int{h.configVersion, h.configVersion - 3} {
		routes = append(routes, map[string]any{
			"database": versionRoute(v), "route_type": "primary", "service": h.groupNames[0], "priority": 2,
			"timeout_ms": routeTimeout.Milliseconds(),
		})
	}
	h.store.Put("config", "main", map[string]any{
		"version": h.configVersion, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 2000},
	})
}

func versionRoute(version int) string {
	return "version" + strconv.Itoa(version)
}

// startInstance starts a process with its own loopback address, view of the store
// and links. The view replaces the addresses of endpoints, and those of other instances
// where the run has links between them, by those of the links.
func (h *Harness) startInstance(number int, o Options) error {
	ip := h.network.host(number)
	i := &instance{
		name:          instanceName(number),
		zone:          string(rune('a' + number%len(zoneRegions))),
		frontAddress:  net.JoinHostPort(ip, "8784"),
		endpointLinks: map[string]*Link{},
		peerLinks:     map[string]*Link{},
	}
	if err := h.startLinks(i, number, o); err != nil {
		return err
	}
	server := httptest.NewUnstartedServer(i.storeView)
	server.Config.ErrorLog = discardLogger
	server.Start()
	h.cleanups = append(h.cleanups, func() {
		server.CloseClientConnections()
		server.Close()
	})
	l, err := h.startLink(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return err
	}
	i.storeLink = l
	settings := filepath.Join(h.folder, fmt.Sprintf("seed-%d-%s.json", h.seed, i.name))
	if err := os.WriteFile(settings, i.settings(ip, h.seedAddresses(o.Instances)), 0o600); err != nil {
		return err
	}
	output := filepath.Join(h.folder, fmt.Sprintf("seed-%d-%s.log", h.seed, i.name))
	i.process, err = startProcess(i.name, o.Program, settings, output, h.recordUnexpectedExit)
	if err != nil {
		return err
	}
	h.cleanups = append(h.cleanups, i.process.Close)
	h.instances = append(h.instances, i)
	return nil
}

// instanceNamed returns the instance of a name, nil if there is none.
func (h *Harness) instanceNamed(name string) *instance {
	for _, i := range h.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (i *instance) settings(ip string, seeds []string) []byte {
	text, err := json.Marshal(map[string]any{
		"node_name": i.name, "role": "proxy", "ip": ip, "zone": i.zone, "region": zoneRegions[i.zone], "zones": zoneRegions,
		"listen_addrs": map[string]string{
			"front": i.frontAddress, "ready": ip + ":8785", "control": ip + ":8782",
		},
		"port_range": []int{7440, 7455},
		"limits":     map[string]any{"memory_mb": 284},
		"bounds":     map[string]any{"grace_s": graceSeconds},
		"seeds":      seeds,
		"platform":   map[string]any{"address": i.storeLink.Address()},
		"cloud_api":  map[string]any{"address": i.storeLink.Address()},
	})
	if err != nil {
		panic(err)
	}
	return text
}

func (h *Harness) recordUnexpectedExit(name string, state *os.ProcessState) {
	h.recorder.recordViolationf("EXIT: %s exited unexpectedly: %v", name, state)
}

// beginFault records the start of a fault under which time limits don't hold. The
// returned function records its end.
func (h *Harness) beginFault() func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeFaults++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.activeFaults--
		h.lastFaultEndedAt = time.Now()
	}
}

// faultFreeSince reports whether no fault has been active since a time, and the
// callers had started stableWindow before it.
func (h *Harness) faultFreeSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.activeFaults == 0 && h.lastFaultEndedAt.Before(at) && h.recorder.startedAt.Add(stableWindow).Before(at)
}

// isReady reports whether the instance's readiness check succeeds.
func (i *instance) isReady() bool {
	host, _, _ := net.SplitHostPort(i.frontAddress)
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + host + ":8785/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
