package platform

import (
	"context"
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/placement"
)

const (
	// watchersPerRegion is how many instances of a region watch the platform. The
	// others receive its changes from these.
	watchersPerRegion = 2
	// watchTimeout, extended by callTimeout, bounds one watch of the
	// configuration.
	watchTimeout = 2 * time.Second
	// recheckInterval is the time between checks whether this instance has to
	// watch, and between watches of an object that does not exist.
	recheckInterval = 250 * time.Millisecond
	// failureBackoff is the time from a failed call to the next one.
	failureBackoff = 500 * time.Millisecond
	// listInterval is the time between reads of the list of instances.
	listInterval = 5 * time.Second
	// soleMemberListInterval is that time while no other member is known.
	soleMemberListInterval = 500 * time.Millisecond
)

// noEvent is the event type of duties that act on deadlines only.
type noEvent struct{}

// Watcher watches the configuration and reads the list of instances. Its two
// duties block on calls of the platform only.
type Watcher struct {
	store           rosemarylb.Store
	view            *duty.Latest[rosemarylb.View]
	onConfiguration func(revision uint64, document []byte)
	onInstances     func([]rosemarylb.Member)
	log             *slog.Logger
	ctx             context.Context
	cancel          context.CancelFunc
}

// NewWatcher returns a watcher that is not yet started. It calls onConfiguration
// with each new configuration and onInstances with each list that it reads; these
// must not block.
func NewWatcher(
	store rosemarylb.Store, view *duty.Latest[rosemarylb.View],
	onConfiguration func(uint64, []byte), onInstances func([]rosemarylb.Member), log *slog.Logger,
) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		store:           store,
		view:            view,
		onConfiguration: onConfiguration,
		onInstances:     onInstances,
		log:             log,
		ctx:             ctx,
		cancel:          cancel,
	}
}

// Start runs the two duties. The returned function stops them.
func (w *Watcher) Start() ([]*duty.Duty, func()) {
	configuration, stopConfiguration := duty.Start[noEvent]("platform-configuration", &configurationDuty{
		watcher: w,
		tickAt:  time.Now(),
	}, duty.NewRing[noEvent]("platform-configuration", 1))
	list, stopList := duty.Start[noEvent]("platform-list", &instanceListDuty{
		watcher: w,
		tickAt:  time.Now(),
	}, duty.NewRing[noEvent]("platform-list", 1))
	return []*duty.Duty{configuration, list}, func() {
		w.cancel()
		stopConfiguration()
		stopList()
	}
}

// isRegionWatcher reports whether this instance is one of its region's watchers,
// the alive members with the highest rendezvous weights.
func (w *Watcher) isRegionWatcher(v rosemarylb.View) bool {
	own := placement.Weight(v.Self.ID, "platform")
	higher := 0
	for _, m := range v.Members {
		if m.Region != v.Self.Region || m.Status != rosemarylb.MemberAlive || m.ID == v.Self.ID {
			continue
		}
		if placement.Weight(m.ID, "platform") > own {
			higher++
		}
	}
	return higher < watchersPerRegion
}

// configurationDuty watches the object of the configuration.
type configurationDuty struct {
	watcher *Watcher
	version rosemarylb.Version
	tickAt  time.Time
	failing bool
}

// Handle implements duty.Handler.
func (*configurationDuty) Handle(time.Time, noEvent) {}

// Tick implements duty.Handler.
func (c *configurationDuty) Tick(now time.Time) {
	w := c.watcher
	v := w.view.Load()
	if v.ServiceConfig.Revision != 0 && !w.isRegionWatcher(v) {
		c.tickAt = now.Add(recheckInterval)
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, watchTimeout+callTimeout)
	defer cancel()
	c.tickAt = time.Now()
	o, err := w.store.Watch(ctx, ConfigurationName, c.version)
	if err != nil {
		// The platform may serve reads while its watches fail.
		o, err = w.store.Get(w.ctx, ConfigurationName)
		c.tickAt = time.Now().Add(failureBackoff)
	}
	if err != nil {
		c.recordFailure(err)
		return
	}
	c.failing = false
	if !o.Version.Exists() {
		c.tickAt = time.Now().Add(recheckInterval)
	}
	if o.Version == c.version {
		return
	}
	c.version = o.Version
	p, err := DecodePublication(o)
	if err != nil {
		w.log.Error("configuration could not be decoded", "version", o.Version.Revision, "reason", err.Error())
		return
	}
	w.onConfiguration(p.Revision, p.Document)
}

// recordFailure logs the first of consecutive failures and delays the next call.
func (c *configurationDuty) recordFailure(err error) {
	if !c.failing && c.watcher.ctx.Err() == nil {
		c.watcher.log.Warn("platform unavailable", "reason", err.Error())
	}
	c.failing = true
	c.tickAt = time.Now().Add(failureBackoff)
}

// Next implements duty.Handler.
func (c *configurationDuty) Next() time.Time {
	return c.tickAt
}

// ConfigurationReport describes the watch of the configuration in a dump.
type ConfigurationReport struct {
	// Version is the last version of the object that was read.
	Version uint64 `json:"version"`
	// Failing is true while calls to the platform fail.
	Failing bool `json:"failing"`
}

// Dump implements duty.Handler.
func (c *configurationDuty) Dump() any {
	return ConfigurationReport{
		Version: c.version.Revision,
		Failing: c.failing,
	}
}

// instanceListDuty reads the list of instances from the platform.
type instanceListDuty struct {
	watcher *Watcher
	tickAt  time.Time
	count   int
}

// Handle implements duty.Handler.
func (*instanceListDuty) Handle(time.Time, noEvent) {}

// Tick implements duty.Handler.
func (l *instanceListDuty) Tick(now time.Time) {
	w := l.watcher
	v := w.view.Load()
	alone := len(v.Members) < 2
	l.tickAt = now.Add(listInterval)
	if alone {
		l.tickAt = now.Add(soleMemberListInterval)
	}
	if !alone && !w.isRegionWatcher(v) {
		return
	}
	members, err := w.store.Instances(w.ctx)
	if err != nil {
		return
	}
	l.count = len(members)
	w.onInstances(members)
}

// Next implements duty.Handler.
func (l *instanceListDuty) Next() time.Time {
	return l.tickAt
}

// InstanceListReport describes the list of instances in a dump.
type InstanceListReport struct {
	// Instances is the number of instances in the list that was last read.
	Instances int `json:"listed"`
}

// Dump implements duty.Handler.
func (l *instanceListDuty) Dump() any {
	return InstanceListReport{
		Instances: l.count,
	}
}
