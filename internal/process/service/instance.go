// Package service assembles an instance of the proxy from its duties.
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
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/stream"
	"rosemarylb/internal/traffic/placement"
	"rosemarylb/internal/traffic/route"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of an instance that are fixed at its start.
type Settings struct {
	// ID is the name of the instance.
	ID rosemarylb.InstanceID
	// Domain is the failure domain of the instance.
	Domain rosemarylb.DomainName
	// Region is the region of the domain.
	Region rosemarylb.RegionName
	// CallerAddress is the host:port for callers.
	CallerAddress string
	// InstanceAddress is the host:port for other instances.
	InstanceAddress string
	// OperatorAddress is the host:port for operators.
	OperatorAddress string
	// EventLoops is the number of event loops for callers, and of those for endpoints.
	EventLoops int
	// MemoryMegabytes is the memory that the process may use, in MiB, and
	// MaxDescriptors the number of descriptors. 0 stands for the defaults of package
	// budget.
	MemoryMegabytes, MaxDescriptors int64
	// Version is the version of the program.
	Version string
}

// Instance is a running instance.
type Instance struct {
	settings         Settings
	pool             *budget.Pool
	budget           *budget.Budget
	log              *slog.Logger
	sessionManager   *caller.SessionManager
	server           *caller.Server
	fleet            *instance.Fleet
	view             *duty.Latest[rosemarylb.View]
	operatorListener net.Listener
	drainRequests    chan struct{}
	cleanups         []func()
}

// Option configures an instance.
type Option func(*Instance)

// WithLogger sets the logger. The default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(i *Instance) {
		i.log = l
	}
}

// drainPollInterval is the time between two checks whether all callers have
// disconnected.
const drainPollInterval = 10 * time.Millisecond

// leavePropagationDelay is the time for the other instances to learn that an
// instance is leaving, before it refuses new callers.
const leavePropagationDelay = 300 * time.Millisecond

// NewInstance starts an instance. The returned function stops it without
// draining; call Drain first for a graceful shutdown. NewInstance returns an
// error if it cannot listen on an address.
func NewInstance(s Settings, store rosemarylb.Store, options ...Option) (*Instance, func(), error) {
	i := &Instance{
		settings:      s,
		log:           slog.Default(),
		drainRequests: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(i)
	}
	i.pool = budget.NewPool(s.MaxDescriptors, i.log)
	i.budget = budget.NewBudget(budget.HeldBytes(s.MemoryMegabytes), i.log)
	if err := i.start(store); err != nil {
		i.runCleanups()
		return nil, nil, err
	}
	return i, i.runCleanups, nil
}

// runCleanups runs the registered cleanups in reverse order.
func (i *Instance) runCleanups() {
	for n := len(i.cleanups) - 1; n >= 0; n-- {
		i.cleanups[n]()
	}
	i.cleanups = nil
}

func (i *Instance) addCleanup(f func()) {
	i.cleanups = append(i.cleanups, f)
}

func (i *Instance) start(store rosemarylb.Store) error {
	instanceListener, err := i.listenTCP(i.settings.InstanceAddress)
	if err != nil {
		return err
	}
	i.operatorListener, err = i.listenTCP(i.settings.OperatorAddress)
	if err != nil {
		return err
	}
	loops, stopLoops, err := endpoint.NewEventLoops(i.settings.EventLoops)
	if err != nil {
		return err
	}
	i.addCleanup(stopLoops)
	senders, duties, stopSenders := instance.NewSenders(i.settings.ID, i.settings.Region)
	i.addCleanup(stopSenders)
	duties = append(duties, loops.Duties()...)

	table := member.NewTable(i.newMember(instanceListener.Addr().String()))
	i.fleet, i.view = instance.NewFleet(table, senders,
		instance.WithParser(site.Parse),
		instance.WithLogger(i.log))
	d := &dispatcher{
		self:    i.settings.ID,
		view:    i.view,
		senders: senders,
		fleet:   i.fleet,
	}
	watcher := i.newWatcher(loops, d)
	owner := endpoint.NewOwner(loops, i.view, newPlacement(),
		endpoint.WithReply(d.reply),
		endpoint.WithProbeRequester(func(w endpoint.FastProbesRequested) bool {
			return watcher.Ring().Offer(w)
		}),
		endpoint.WithEvictor(func(e endpoint.EvictionRequested) bool {
			return watcher.Ring().Offer(e)
		}))
	i.sessionManager = caller.NewSessionManager(i.settings.ID, i.view, route.NewNearest(newPlacement()), d)
	d.owner = owner
	d.sessionManager = i.sessionManager

	duties = append(duties,
		i.startDuty(i.fleet.Start), i.startDuty(owner.Start), i.startDuty(watcher.Start),
		i.startDuty(i.sessionManager.Start))
	i.addCleanup(instance.Serve(stream.LimitListener(instanceListener, budget.ServerInstances, i.pool), i.budget, receiver{
		dispatcher: d,
	}))
	i.server, err = i.listenForCallers()
	if err != nil {
		return err
	}
	platformWatcher := platform.NewWatcher(store, i.view, d.publishConfig, d.publishMembers, i.log)
	platformDuties, stopWatcher := platformWatcher.Start()
	i.addCleanup(stopWatcher)
	i.addCleanup(operator.Serve(i.operatorListener, i.settings.ID, i.view,
		operator.WithDuties(append(duties, platformDuties...)),
		operator.WithVersion(i.settings.Version),
		operator.WithPool(i.pool),
		operator.WithDrain(i.requestDrain)))
	return nil
}

// listenTCP listens on an address until the instance is stopped.
func (i *Instance) listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	i.addCleanup(func() {
		_ = l.Close()
	})
	return l, nil
}

// newMember returns the membership record of this instance.
func (i *Instance) newMember(address string) rosemarylb.Member {
	return rosemarylb.Member{
		ID:          i.settings.ID,
		Address:     address,
		Domain:      i.settings.Domain,
		Region:      i.settings.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// newPlacement returns a placement for use by a single duty.
func newPlacement() rosemarylb.Placement {
	return placement.NewCached(placement.NewRendezvous())
}

func (i *Instance) newWatcher(loops *endpoint.EventLoops, d *dispatcher) *endpoint.Watcher {
	return endpoint.NewWatcher(loops, i.view, newPlacement(),
		endpoint.WithArbiterFactory(func(self rosemarylb.InstanceID, database rosemarylb.Database) rosemarylb.Arbiter {
			return arbiter.NewElection(self, database)
		}),
		endpoint.WithObserver(func(e endpoint.Event) bool {
			return d.owner.Ring().Offer(e)
		}),
		endpoint.WithAnnouncer(d.announcePrimary))
}

func (i *Instance) startDuty(start func() (*duty.Duty, func())) *duty.Duty {
	d, stop := start()
	i.addCleanup(stop)
	return d
}

func (i *Instance) listenForCallers() (*caller.Server, error) {
	s, stop, err := caller.Listen(i.settings.CallerAddress, i.settings.EventLoops, i.sessionManager, i.pool, i.budget)
	if err != nil {
		return nil, err
	}
	i.addCleanup(stop)
	return s, nil
}

// View returns the instance's current view of the fleet.
func (i *Instance) View() rosemarylb.View {
	return i.view.Load()
}

// OperatorAddress returns the host:port that the instance listens on for
// operators.
func (i *Instance) OperatorAddress() string {
	return i.operatorListener.Addr().String()
}

// Sessions returns the number of connected callers.
func (i *Instance) Sessions() int64 {
	return i.server.OpenConnections()
}

// DrainRequested returns a channel that receives a value when an operator requests a
// drain.
func (i *Instance) DrainRequested() <-chan struct{} {
	return i.drainRequests
}

// requestDrain requests a drain, unless a request is already pending.
func (i *Instance) requestDrain() {
	select {
	case i.drainRequests <- struct{}{}:
	default:
	}
}

// Drain leaves the fleet, refuses new callers, and closes sessions between
// requests. It returns when all callers have disconnected, or when the drain
// timeout of the configuration has passed.
func (i *Instance) Drain() {
	timeout := time.Duration(i.view.Load().ServiceConfig.DrainMillis) * time.Millisecond
	deadline := time.Now().Add(timeout)
	i.log.Info("drain started", "sessions", i.Sessions(), "deadline", deadline)
	i.fleet.Ring().Put(instance.LeaveRequested{})
	time.Sleep(min(leavePropagationDelay, timeout))
	i.server.StopAccepting()
	i.sessionManager.Ring().Put(caller.DrainStarted{
		Deadline: deadline,
	})
	for i.Sessions() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	i.log.Info("drain ended", "sessions", i.Sessions())
}
