// Package registry watches the endpoints that register themselves in the
// directory, and the configuration that operators store there.
package registry

import (
	"context"
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout is the timeout of a call that is not a watch.
	callTimeout = 1500 * time.Millisecond
	// watchTimeout is the timeout of a watch, a call that blocks until something
	// changes.
	watchTimeout = 4 * time.Second
	// standbyInterval is the interval of the checks whether another instance
	// still reports the changes.
	standbyInterval = 100 * time.Millisecond
	// minWatchInterval is the minimum time between two watches of the endpoints.
	// Their entries change continuously, so that a watch returns almost at once.
	minWatchInterval = 700 * time.Millisecond
	// initialBackoff is the delay after a failed call. It doubles with each
	// further failure, because calls that the store rejects are billed too.
	initialBackoff = 250 * time.Millisecond
	// maxBackoff is the maximum delay after a failed call.
	maxBackoff = time.Second
	// notifiedMaxBackoff is that maximum for the configuration while the keeper's replies
	// carry it.
	notifiedMaxBackoff = 2 * time.Second
	// contentTimeout is how long a configuration that the keeper has announced may take
	// to arrive before it is fetched from the directory. It is also the minimum time
	// between two such fetches.
	contentTimeout = time.Second
	// missingRetention is the time for which an endpoint that is no longer
	// listed is still published. Entries that expired during an outage of the
	// store are registered again within that time.
	missingRetention = 2500 * time.Millisecond
)

// EndpointWatcher is a duty that watches the registered endpoints.
type EndpointWatcher struct {
	clock     rosemarylb.Clock
	directory rosemarylb.Directory
	log       *slog.Logger
	publish   func([]rosemarylb.EndpointSpec)
	listing   rosemarylb.EndpointListing
	missing   map[rosemarylb.EndpointID]missingEndpoint
	// outdated are the endpoints whose entry in a restored store is stale.
	outdated       map[rosemarylb.EndpointID]struct{}
	nextTickAt     time.Time
	reachable      bool
	lastResponseAt *duty.Latest[time.Time]
	notification   *duty.Latest[keeper.Notification]
	failures       int
}

// backoff returns the delay after a number of consecutive failures.
func backoff(failures int) time.Duration {
	return backoffUpTo(failures, maxBackoff)
}

func backoffUpTo(failures int, limit time.Duration) time.Duration {
	return min(initialBackoff<<min(failures-1, 4), limit)
}

// missingEndpoint is an endpoint that is no longer listed but still published.
type missingEndpoint struct {
	spec      rosemarylb.EndpointSpec
	expiresAt time.Time
}

// StartEndpointWatcher starts a duty that passes the registered endpoints to publish
// and stores the time of the directory's last response in lastResponseAt. It
// does not query the directory while notification shows that another instance reports
// the endpoints. The function publish must not block. The returned function
// stops the duty.
func StartEndpointWatcher(
	c rosemarylb.Clock, d rosemarylb.Directory, l *slog.Logger, lastResponseAt *duty.Latest[time.Time],
	notification *duty.Latest[keeper.Notification], publish func([]rosemarylb.EndpointSpec),
) (*duty.Duty, func()) {
	return duty.StartWithClock[struct{}](c, "registry-endpoints", &EndpointWatcher{
		clock:          c,
		directory:      d,
		log:            l,
		publish:        publish,
		missing:        map[rosemarylb.EndpointID]missingEndpoint{},
		outdated:       map[rosemarylb.EndpointID]struct{}{},
		nextTickAt:     c.Now(),
		reachable:      true,
		lastResponseAt: lastResponseAt,
		notification:   notification,
	}, duty.NewRing[struct{}]("registry-endpoints", 1))
}

// Handle implements duty.Handler. The duty receives no events.
func (*EndpointWatcher) Handle(time.Time, struct{}) {}

// Tick implements duty.Handler. It blocks on the directory for at most
// watchTimeout.
func (e *EndpointWatcher) Tick(now time.Time) {
	if e.notification.Load().Fresh(now) {
		e.nextTickAt = now.Add(standbyInterval)
		return
	}
	next, err := e.fetch()
	if err != nil {
		e.setReachable(false, err)
		e.failures++
		e.nextTickAt = now.Add(backoff(e.failures))
		if errors.Is(err, rosemarylb.ErrCompacted) {
			// Revision 0 makes the next call list all endpoints. The known ones
			// stay, to detect those that are missing from the new listing.
			e.listing = e.listing.WithChanges(rosemarylb.Version{
				Era: e.listing.Version.Era,
			}, nil, nil)
			e.nextTickAt = now
		}
		return
	}
	e.setReachable(true, nil)
	e.failures = 0
	e.lastResponseAt.Store(e.clock.Now())
	e.nextTickAt = now.Add(minWatchInterval)
	next = e.withKnownEntries(next)
	e.retainMissing(next, now)
	e.listing = next
	var all []rosemarylb.EndpointSpec
	for _, s := range next.Endpoints {
		all = append(all, s)
	}
	for _, m := range e.missing {
		all = append(all, m.spec)
	}
	e.publish(all)
}

func (e *EndpointWatcher) fetch() (rosemarylb.EndpointListing, error) {
	if !e.listing.Version.Exists() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return e.directory.ListEndpoints(ctx)
	}
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	return e.directory.WatchEndpoints(ctx, e.listing)
}

// retainMissing adds the endpoints that the next listing lacks to the missing
// ones, and removes those that are listed again or have expired.
func (e *EndpointWatcher) retainMissing(next rosemarylb.EndpointListing, now time.Time) {
	expiresAt := now.Add(e.retention(next))
	for id, s := range e.listing.Endpoints {
		if _, listed := next.Endpoints[id]; !listed {
			e.missing[id] = missingEndpoint{
				spec:      s,
				expiresAt: expiresAt,
			}
		}
	}
	for id, m := range e.missing {
		if _, listed := next.Endpoints[id]; listed || now.After(m.expiresAt) {
			delete(e.missing, id)
		}
	}
}

func (e *EndpointWatcher) setReachable(reachable bool, err error) {
	if reachable == e.reachable {
		return
	}
	e.reachable = reachable
	if reachable {
		e.log.Info("dependency regained", "dependency", "directory of endpoints")
		return
	}
	e.log.Warn("dependency lost", "dependency", "directory of endpoints", "error", err)
}

// Next implements duty.Handler.
func (e *EndpointWatcher) Next() time.Time {
	return e.nextTickAt
}

// Dump implements duty.Handler.
func (e *EndpointWatcher) Dump() any {
	return e.listing
}

// ConfigurationWatcher is a duty that watches the configuration in the directory.
type ConfigurationWatcher struct {
	directory    rosemarylb.Directory
	log          *slog.Logger
	publish      func(rosemarylb.Catalog)
	listed       rosemarylb.Version
	version      uint64
	notification *duty.Latest[keeper.Notification]
	latest       *duty.Latest[rosemarylb.Catalog]
	nextTickAt   time.Time
	reachable    bool
	failures     int
	// awaiting is true from the announcement of a version until its content is known.
	// The content is fetched at fetchAt.
	awaiting bool
	fetchAt  time.Time
}

// StartConfigurationWatcher starts a duty that passes each configuration later than
// latest to publish. While notification shows that another instance reports the newest
// version, it queries the directory only if that version does not become the latest
// within contentTimeout. The function publish must not block for long. The returned
// function stops the duty.
func StartConfigurationWatcher(
	c rosemarylb.Clock, d rosemarylb.Directory, l *slog.Logger, notification *duty.Latest[keeper.Notification],
	latest *duty.Latest[rosemarylb.Catalog], publish func(rosemarylb.Catalog),
) (*duty.Duty, func()) {
	return duty.StartWithClock[struct{}](c, "registry-configuration", &ConfigurationWatcher{
		directory:    d,
		log:          l,
		publish:      publish,
		notification: notification,
		latest:       latest,
		nextTickAt:   c.Now(),
		reachable:    true,
	}, duty.NewRing[struct{}]("registry-configuration", 1))
}

// Handle implements duty.Handler. The duty receives no events.
func (*ConfigurationWatcher) Handle(time.Time, struct{}) {}

// Tick implements duty.Handler. It blocks on the directory for at most
// watchTimeout.
func (c *ConfigurationWatcher) Tick(now time.Time) {
	n := c.notification.Load()
	if n.ReplacesWatch(now) {
		c.nextTickAt = now.Add(standbyInterval)
		c.listed = rosemarylb.Version{}
		if !c.fetchDue(n.CatalogVersion, now) {
			return
		}
	}
	next, listed, err := c.fetch()
	if err != nil {
		c.failures++
		c.nextTickAt = now.Add(c.backoff(now))
		if c.reachable {
			c.log.Warn("dependency lost", "dependency", "configuration", "error", err)
		}
		c.reachable = false
		c.listed = rosemarylb.Version{}
		return
	}
	if !c.reachable {
		c.log.Info("dependency regained", "dependency", "configuration")
	}
	c.reachable = true
	c.failures = 0
	c.nextTickAt = now
	if !listed.Exists() {
		// Without a revision, the next call does not block.
		c.nextTickAt = now.Add(initialBackoff)
	}
	c.listed = listed
	if next.Version > c.knownVersion() {
		c.version = next.Version
		c.publish(next)
	}
}

// backoff returns the delay after a failed call.
func (c *ConfigurationWatcher) backoff(now time.Time) time.Duration {
	if c.notification.Load().Fresh(now) {
		return backoffUpTo(c.failures, notifiedMaxBackoff)
	}
	return backoff(c.failures)
}

// knownVersion returns the latest version that was fetched or received otherwise.
func (c *ConfigurationWatcher) knownVersion() uint64 {
	return max(c.version, c.latest.Load().Version)
}

// fetchDue reports whether an announced version has to be fetched now. If so, the next
// fetch is due contentTimeout later.
func (c *ConfigurationWatcher) fetchDue(announced uint64, now time.Time) bool {
	if announced <= c.knownVersion() {
		c.awaiting = false
		return false
	}
	if c.awaiting && !now.Before(c.fetchAt) {
		c.fetchAt = now.Add(contentTimeout)
		return true
	}
	if !c.awaiting {
		c.awaiting = true
		c.fetchAt = now.Add(contentTimeout)
	}
	return false
}

func (c *ConfigurationWatcher) fetch() (rosemarylb.Catalog, rosemarylb.Version, error) {
	if !c.listed.Exists() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return c.directory.Catalog(ctx)
	}
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	return c.directory.WatchCatalog(ctx, c.listed)
}

// Next implements duty.Handler.
func (c *ConfigurationWatcher) Next() time.Time {
	return c.nextTickAt
}

// Dump implements duty.Handler.
func (c *ConfigurationWatcher) Dump() any {
	return c.version
}
