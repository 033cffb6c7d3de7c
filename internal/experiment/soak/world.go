// Package soak runs instances as processes of their own on stand-ins of the
// users' platform, disturbs them from outside by a seeded plan, and checks what
// callers and endpoints see.
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
	// routeTimeout is the timeout of the routes.
	routeTimeout = 1500 * time.Millisecond
	// stableWindow is how long nothing may have been disturbed for bounds to hold.
	stableWindow = 5 * time.Second
	// drainSpan is how long a leaving endpoint may still be sent requests.
	drainSpan = 7 * time.Second
	// graceSeconds is the time between the signal to stop and the kill.
	graceSeconds = 6
	// recoverSpan is how long after the last fault everything has to be served.
	recoverSpan = 12 * time.Second
	// heartbeat is how often endpoints write their entries.
	heartbeat = 1200 * time.Millisecond
	// groupSize is how many endpoints a group has.
	groupSize = 3
	// connectionLimit is how many connections an endpoint takes.
	connectionLimit = 16
)

// zones are the failure domains, each with its region.
var zones = map[string]string{"a": "north", "b": "north", "c": "south"}

// instance is a process and the ways to it and from it.
type instance struct {
	name    string
	zone    string
	front   string
	process *Process
	store   *Link
	view    *objects.View
	// links lead to the endpoints, by their names.
	links map[string]*Link
}

// endpoint is a server, and what it says of itself.
type endpoint struct {
	server    *line.Server
	group     string
	zone      string
	born      int64
	sequence  int
	leaving   bool
	leavingAt time.Time
	absent    bool
	absentAt  time.Time
	// reserved is true while a step of the plan ends and starts it.
	reserved bool
}

// World is everything around the instances, and the instances.
type World struct {
	seed      uint64
	folder    string
	ledger    *Ledger
	store     *objects.Store
	groups    map[string]*line.Group
	names     []string
	instances []*instance
	sessions  atomic.Int64
	ending    atomic.Bool
	cleanups  []func()

	mu          sync.Mutex
	endpoints   []*endpoint
	version     int
	disturbed   int
	disturbedAt time.Time
}

// newWorld starts a world. The returned function ends it and all that it
// started.
func newWorld(o Options) (*World, func(), error) {
	w := &World{
		seed:   o.Seed,
		folder: o.Folder,
		ledger: newLedger(),
		groups: map[string]*line.Group{},
	}
	w.store = objects.NewStore(func(group, id string) bool {
		g, found := w.groups[group]
		return found && g.Promote(id)
	})
	if err := w.start(o); err != nil {
		w.cleanup()
		return nil, nil, err
	}
	return w, w.cleanup, nil
}

func (w *World) cleanup() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
	w.cleanups = nil
}

func (w *World) start(o Options) error {
	for g := range o.Groups {
		if err := w.startGroup("svc" + strconv.Itoa(g)); err != nil {
			return err
		}
	}
	w.configure()
	for i := range o.Instances {
		if err := w.startInstance(i, o.Program); err != nil {
			return err
		}
	}
	beats := time.NewTicker(heartbeat)
	stop := make(chan struct{})
	duty.Spawn(func() {
		for {
			select {
			case <-beats.C:
				w.beatAll()
			case <-stop:
				return
			}
		}
	})
	w.cleanups = append(w.cleanups, func() {
		beats.Stop()
		close(stop)
	})
	return nil
}

func (w *World) startGroup(name string) error {
	g := line.NewGroup(name, line.WithLag(30*time.Millisecond), line.WithPromotion(300*time.Millisecond, time.Second),
		line.WithWork(3*time.Millisecond), line.WithCapacity(connectionLimit), line.WithNumberedSignatures())
	w.groups[name] = g
	w.names = append(w.names, name)
	for i := range groupSize {
		s, err := line.Start(g, name+"e"+strconv.Itoa(i))
		if err != nil {
			return err
		}
		w.cleanups = append(w.cleanups, s.Stop)
		e := &endpoint{
			server: s,
			group:  name,
			zone:   string(rune('a' + i%len(zones))),
			born:   time.Now().UnixMilli(),
		}
		w.endpoints = append(w.endpoints, e)
		w.beat(e)
	}
	return nil
}

// beat writes an endpoint's entry; the world is locked or not yet shared.
func (w *World) beat(e *endpoint) {
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	role := "replica"
	if e.server.Leads() {
		role = "primary"
	}
	e.sequence++
	w.store.Put("servers", e.server.ID(), map[string]any{
		"service": e.group, "address": e.server.Address(), "zone": e.zone, "slots": 2, "state": state,
		"version": "1", "cold_left_ms": 0, "seq_no": e.sequence, "born": e.born, "db_role": role,
	})
}

func (w *World) beatAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		switch {
		case !e.absent:
			w.beat(e)
		case time.Since(e.absentAt) > 3*heartbeat:
			w.store.Delete("servers", e.server.ID())
		}
	}
}

// configure writes the next configuration: the routes of all groups and two
// routes named after the last two versions.
func (w *World) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	var routes, services []map[string]any
	for _, g := range w.names {
		for rank, k := range routeKinds {
			routes = append(routes, map[string]any{
				"database": g + "-" + k.name, "route_type": k.name, "service": g, "priority": rank,
				"timeout_ms": routeTimeout.Milliseconds(), "max_staleness_ms": k.staleness.Milliseconds(),
			})
		}
		services = append(services, map[string]any{"name": g, "max_conns": connectionLimit})
	}
	for _, v := range []int{w.version, w.version - 3} {
		routes = append(routes, map[string]any{
			"database": versionRoute(v), "route_type": "primary", "service": w.names[0], "priority": 2,
			"timeout_ms": routeTimeout.Milliseconds(),
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 2000},
	})
}

func versionRoute(version int) string {
	return "version" + strconv.Itoa(version)
}

// startInstance starts a process with an address, a view of the store and links
// of its own.
func (w *World) startInstance(number int, program string) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 16+w.seed%200, w.seed/200%250, number+1)
	i := &instance{
		name:  "front-" + strconv.Itoa(number),
		zone:  string(rune('a' + number%len(zones))),
		front: net.JoinHostPort(ip, "8784"),
		links: map[string]*Link{},
	}
	addresses := map[string]string{}
	for _, e := range w.endpoints {
		l, stop, err := NewLink(e.server.Address())
		if err != nil {
			return err
		}
		w.cleanups = append(w.cleanups, stop)
		i.links[e.server.ID()] = l
		addresses[e.server.Address()] = l.Address()
	}
	i.view = w.store.View(func(kind string, spec json.RawMessage) json.RawMessage {
		if kind != "servers" {
			return spec
		}
		text := string(spec)
		for own, seen := range addresses {
			text = strings.ReplaceAll(text, strconv.Quote(own), strconv.Quote(seen))
		}
		return json.RawMessage(text)
	})
	server := httptest.NewUnstartedServer(i.view)
	server.Config.ErrorLog = discard
	server.Start()
	l, stop, err := NewLink(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return err
	}
	i.store = l
	w.cleanups = append(w.cleanups, func() {
		server.CloseClientConnections()
		server.Close()
	}, stop)
	settings := filepath.Join(w.folder, fmt.Sprintf("seed-%d-%s.json", w.seed, i.name))
	if err := os.WriteFile(settings, i.settings(ip), 0o600); err != nil {
		return err
	}
	output := filepath.Join(w.folder, fmt.Sprintf("seed-%d-%s.log", w.seed, i.name))
	i.process, err = startProcess(i.name, program, settings, output, w.processEnded)
	if err != nil {
		return err
	}
	w.cleanups = append(w.cleanups, i.process.Close)
	w.instances = append(w.instances, i)
	return nil
}

func (i *instance) settings(ip string) []byte {
	text, err := json.Marshal(map[string]any{
		"node_name": i.name, "role": "proxy", "ip": ip, "zone": i.zone, "region": zones[i.zone], "zones": zones,
		"listen_addrs": map[string]string{
			"front": i.front, "ready": ip + ":8785", "control": ip + ":8782",
		},
		"port_range": []int{7440, 7455},
		"limits":     map[string]any{"memory_mb": 284},
		"bounds":     map[string]any{"grace_s": graceSeconds},
		"platform":   map[string]any{"address": i.store.Address()},
		"cloud_api":  map[string]any{"address": i.store.Address()},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// processEnded notes an end that nobody asked for.
func (w *World) processEnded(name string, state *os.ProcessState) {
	w.ledger.violatef("EXIT: %s ended by itself: %v", name, state)
}

// disturb notes the begin of a fault that bounds don't hold under; the returned
// function notes its end.
func (w *World) disturb() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disturbed--
		w.disturbedAt = time.Now()
	}
}

// calmSince reports whether nothing was disturbed since a time.
func (w *World) calmSince(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.disturbed == 0 && w.disturbedAt.Before(at) && w.ledger.begun.Add(stableWindow).Before(at)
}

// ready reports whether an instance says that it is.
func (i *instance) ready() bool {
	host, _, _ := net.SplitHostPort(i.front)
	client := http.Client{
		Timeout: time.Second,
	}
	r, err := client.Get("http://" + host + ":8785/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
