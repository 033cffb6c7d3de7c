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
	// watcherCount is how many instances of a region watch the platform; the
	// others learn from their neighbours.
	watcherCount = 2
	// watchSpan is how long one watch waits for a change.
	watchSpan = 2 * time.Second
	// idlePause is the time between two looks whether to watch.
	idlePause = 250 * time.Millisecond
	// failurePause is the wait after a failed call.
	failurePause = 500 * time.Millisecond
	// listPause is the time between two readings of the list of instances.
	listPause = 5 * time.Second
	// aloneListPause is that time while no other instance is known.
	aloneListPause = 500 * time.Millisecond
)

// none is the event of duties that only wait for the platform.
type none struct{}

// Watcher brings configurations and the list of instances from the platform.
// Its threads wait for the platform and for nothing else.
type Watcher struct {
	store    rosemarylb.Store
	view     *duty.Latest[rosemarylb.View]
	accepted func(revision uint64, document []byte)
	listed   func([]rosemarylb.Member)
	log      *slog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewWatcher returns a watcher that is not yet started. What it finds goes to
// the two functions, which must not wait.
func NewWatcher(
	store rosemarylb.Store, view *duty.Latest[rosemarylb.View],
	accepted func(uint64, []byte), listed func([]rosemarylb.Member), log *slog.Logger,
) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		store:    store,
		view:     view,
		accepted: accepted,
		listed:   listed,
		log:      log,
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Start runs the two threads. The returned function stops them.
func (w *Watcher) Start() ([]*duty.Duty, func()) {
	configuration, stopConfiguration := duty.Start[none]("platform-configuration", &configurationDuty{
		watcher: w,
		nextAt:  time.Now(),
	}, duty.NewRing[none]("platform-configuration", 1))
	list, stopList := duty.Start[none]("platform-list", &listDuty{
		watcher: w,
		nextAt:  time.Now(),
	}, duty.NewRing[none]("platform-list", 1))
	return []*duty.Duty{configuration, list}, func() {
		w.cancel()
		stopConfiguration()
		stopList()
	}
}

// watches reports whether this instance is one of its region's watchers.
func (w *Watcher) watches(v rosemarylb.View) bool {
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
	return higher < watcherCount
}

// configurationDuty watches the configuration.
type configurationDuty struct {
	watcher *Watcher
	version uint64
	nextAt  time.Time
	failed  bool
}

// Handle implements duty.Handler.
func (*configurationDuty) Handle(time.Time, none) {}

// Tick implements duty.Handler.
func (c *configurationDuty) Tick(now time.Time) {
	w := c.watcher
	v := w.view.Load()
	if v.ServiceConfig.Revision != 0 && !w.watches(v) {
		c.nextAt = now.Add(idlePause)
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, watchSpan+callTimeout)
	defer cancel()
	c.nextAt = time.Now()
	o, err := w.store.Watch(ctx, ConfigurationName, c.version)
	if err != nil {
		// A watch may fail while plain reads are answered.
		o, err = w.store.Get(w.ctx, ConfigurationName)
		c.nextAt = time.Now().Add(failurePause)
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.failed = false
	if o.Version == 0 {
		c.nextAt = time.Now().Add(idlePause)
	}
	if o.Version == c.version {
		return
	}
	c.version = o.Version
	p, err := DecodePublication(o)
	if err != nil {
		w.log.Error("publication not understood", "version", o.Version, "reason", err.Error())
		return
	}
	w.accepted(p.Revision, p.Document)
}

func (c *configurationDuty) fail(err error) {
	if !c.failed && c.watcher.ctx.Err() == nil {
		c.watcher.log.Warn("platform unavailable", "reason", err.Error())
	}
	c.failed = true
	c.nextAt = time.Now().Add(failurePause)
}

// Next implements duty.Handler.
func (c *configurationDuty) Next() time.Time {
	return c.nextAt
}

// WatchReport is the watch's part of a dump.
type WatchReport struct {
	// Version is the object version last seen.
	Version uint64 `json:"version"`
	// Failing is true while calls fail.
	Failing bool `json:"failing"`
}

// Dump implements duty.Handler.
func (c *configurationDuty) Dump() any {
	return WatchReport{
		Version: c.version,
		Failing: c.failed,
	}
}

// listDuty reads the list of instances.
type listDuty struct {
	watcher *Watcher
	nextAt  time.Time
	count   int
}

// Handle implements duty.Handler.
func (*listDuty) Handle(time.Time, none) {}

// Tick implements duty.Handler.
func (l *listDuty) Tick(now time.Time) {
	w := l.watcher
	v := w.view.Load()
	alone := len(v.Members) < 2
	l.nextAt = now.Add(listPause)
	if alone {
		l.nextAt = now.Add(aloneListPause)
	}
	if !alone && !w.watches(v) {
		return
	}
	members, err := w.store.Instances(w.ctx)
	if err != nil {
		return
	}
	l.count = len(members)
	w.listed(members)
}

// Next implements duty.Handler.
func (l *listDuty) Next() time.Time {
	return l.nextAt
}

// ListReport is the list's part of a dump.
type ListReport struct {
	// Listed is how many instances the platform last listed.
	Listed int `json:"listed"`
}

// Dump implements duty.Handler.
func (l *listDuty) Dump() any {
	return ListReport{
		Listed: l.count,
	}
}
