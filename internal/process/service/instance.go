// Package service puts the duties of one instance together.
package service

import (
	"log/slog"
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/arbiter"
	"rosemarylb/internal/fleet/member"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/peer/caller"
	"rosemarylb/internal/peer/endpoint"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/peer/operator"
	"rosemarylb/internal/peer/platform"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/placement"
	"rosemarylb/internal/traffic/route"

	"github.com/cockroachdb/errors"
)

// Settings are what a process is told at its start.
type Settings struct {
	// ID names the instance.
	ID rosemarylb.InstanceID
	// Domain is the failure domain that it stands in.
	Domain rosemarylb.DomainName
	// Region is the region of that domain.
	Region rosemarylb.RegionName
	// CallerAddress is where callers connect.
	CallerAddress string
	// InstanceAddress is where other instances connect.
	InstanceAddress string
	// OperatorAddress is where operators connect.
	OperatorAddress string
	// Loops is the number of event loops toward callers, and of those toward
	// endpoints.
	Loops int
	// Version is the program's version.
	Version string
}

// Instance is a running instance.
type Instance struct {
	settings Settings
	log      *slog.Logger
	edge     *caller.SessionManager
	server   *caller.Server
	fleet    *instance.Fleet
	view     *duty.Latest[rosemarylb.View]
	operator net.Listener
	drains   chan struct{}
	cleanups []func()
}

// Option changes an instance under construction.
type Option func(*Instance)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option {
	return func(i *Instance) {
		i.log = l
	}
}

// drainPoll is the time between two looks whether all callers have left.
const drainPoll = 10 * time.Millisecond

// leaveSettle is the time that the others have to learn that an instance
// leaves, before it turns new callers away.
const leaveSettle = 300 * time.Millisecond

// NewInstance starts an instance. The returned function stops it at once; use
// Drain for a graceful end.
func NewInstance(s Settings, store rosemarylb.Store, options ...Option) (*Instance, func(), error) {
	i := &Instance{
		settings: s,
		log:      slog.Default(),
		drains:   make(chan struct{}, 1),
	}
	for _, o := range options {
		o(i)
	}
	if err := i.start(store); err != nil {
		i.cleanup()
		return nil, nil, err
	}
	return i, i.cleanup, nil
}

func (i *Instance) cleanup() {
	for n := len(i.cleanups) - 1; n >= 0; n-- {
		i.cleanups[n]()
	}
	i.cleanups = nil
}

func (i *Instance) onCleanup(f func()) {
	i.cleanups = append(i.cleanups, f)
}

func (i *Instance) start(store rosemarylb.Store) error {
	instances, err := i.bind(i.settings.InstanceAddress)
	if err != nil {
		return err
	}
	i.operator, err = i.bind(i.settings.OperatorAddress)
	if err != nil {
		return err
	}
	loops, stopLoops, err := endpoint.NewEventLoops(i.settings.Loops)
	if err != nil {
		return err
	}
	i.onCleanup(stopLoops)
	senders, duties, stopSenders := instance.NewSenders(i.settings.ID, i.settings.Region)
	i.onCleanup(stopSenders)
	duties = append(duties, loops.Duties()...)

	table := member.NewTable(i.self(instances.Addr().String()))
	i.fleet, i.view = instance.NewFleet(table, senders,
		instance.WithParser(site.Parse),
		instance.WithLogger(i.log))
	hub := &hub{
		self:    i.settings.ID,
		view:    i.view,
		senders: senders,
		fleet:   i.fleet,
	}
	watcher := i.newWatcher(loops, hub)
	owner := endpoint.NewOwner(loops, i.view, newPlacement(),
		endpoint.WithReply(hub.reply),
		endpoint.WithProbeRequester(func(w endpoint.FastProbesRequested) bool {
			return watcher.Ring().Offer(w)
		}),
		endpoint.WithEvictor(func(e endpoint.EvictionRequested) bool {
			return watcher.Ring().Offer(e)
		}))
	i.edge = caller.NewSessionManager(i.settings.ID, i.view, route.NewNearest(newPlacement()), hub)
	hub.owner = owner
	hub.edge = i.edge

	duties = append(duties, i.run(i.fleet.Start), i.run(owner.Start), i.run(watcher.Start), i.run(i.edge.Start))
	i.onCleanup(instance.Serve(instances, receiver{
		hub: hub,
	}))
	i.server, err = i.listen()
	if err != nil {
		return err
	}
	observer := platform.NewWatcher(store, i.view, hub.accepted, hub.listed, i.log)
	observers, stopObserver := observer.Start()
	i.onCleanup(stopObserver)
	i.onCleanup(operator.Serve(i.operator, i.settings.ID, i.view,
		operator.WithDuties(append(duties, observers...)),
		operator.WithVersion(i.settings.Version),
		operator.WithDrain(i.askDrain)))
	return nil
}

func (i *Instance) bind(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	i.onCleanup(func() {
		_ = l.Close()
	})
	return l, nil
}

func (i *Instance) self(address string) rosemarylb.Member {
	return rosemarylb.Member{
		ID:          i.settings.ID,
		Address:     address,
		Domain:      i.settings.Domain,
		Region:      i.settings.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// newPlacement returns a placement for one duty.
func newPlacement() rosemarylb.Placement {
	return placement.NewCached(placement.NewRendezvous())
}

func (i *Instance) newWatcher(loops *endpoint.EventLoops, h *hub) *endpoint.Watcher {
	return endpoint.NewWatcher(loops, i.view, newPlacement(),
		endpoint.WithArbiterFactory(func(self rosemarylb.InstanceID, d rosemarylb.Database) rosemarylb.Arbiter {
			return arbiter.NewElection(self, d)
		}),
		endpoint.WithObserver(func(e endpoint.Event) bool {
			return h.owner.Ring().Offer(e)
		}),
		endpoint.WithAnnouncer(h.announced))
}

func (i *Instance) run(start func() (*duty.Duty, func())) *duty.Duty {
	d, stop := start()
	i.onCleanup(stop)
	return d
}

func (i *Instance) listen() (*caller.Server, error) {
	s, stop, err := caller.Listen(i.settings.CallerAddress, i.settings.Loops, i.edge)
	if err != nil {
		return nil, err
	}
	i.onCleanup(stop)
	return s, nil
}

// View returns what the instance knows of the fleet.
func (i *Instance) View() rosemarylb.View {
	return i.view.Load()
}

// OperatorAddress returns where operators connect.
func (i *Instance) OperatorAddress() string {
	return i.operator.Addr().String()
}

// Sessions returns how many callers are connected.
func (i *Instance) Sessions() int64 {
	return i.server.OpenConnections()
}

// DrainAsked returns a channel that tells when an operator asks for a drain.
func (i *Instance) DrainAsked() <-chan struct{} {
	return i.drains
}

func (i *Instance) askDrain() {
	select {
	case i.drains <- struct{}{}:
	default:
	}
}

// Drain leaves the fleet and ends the sessions between requests, and returns
// when all callers have left or the configured time has passed.
func (i *Instance) Drain() {
	span := time.Duration(i.view.Load().ServiceConfig.DrainMillis) * time.Millisecond
	deadline := time.Now().Add(span)
	i.log.Info("drain started", "sessions", i.Sessions(), "deadline", deadline)
	i.fleet.Ring().Put(instance.LeaveRequested{})
	time.Sleep(min(leaveSettle, span))
	i.server.StopAccepting()
	i.edge.Ring().Put(caller.DrainStarted{
		Deadline: deadline,
	})
	for i.Sessions() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	i.log.Info("drain ended", "sessions", i.Sessions())
}
