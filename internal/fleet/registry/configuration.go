package registry

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
)

// configurationCapacity is the number of configurations that may wait for the duty.
const configurationCapacity = 16

// ConfigurationReceived carries a configuration of any version.
type ConfigurationReceived struct {
	// Catalog is the configuration.
	Catalog rosemarylb.Catalog
	// Source names what it was received from, for logs.
	Source string
}

// Configuration is a duty that holds the latest configuration that was received from
// the store, the keeper or another instance. It never goes back to an earlier version.
type Configuration struct {
	duty.HandlerDefaults

	log     *slog.Logger
	ring    *duty.Ring[ConfigurationReceived]
	latest  *duty.Latest[rosemarylb.Catalog]
	publish func(rosemarylb.Catalog)
}

// NewConfiguration returns a duty that is not started yet. It passes each later version
// to publish, which must not wait for the duty.
func NewConfiguration(l *slog.Logger, publish func(rosemarylb.Catalog)) *Configuration {
	return &Configuration{
		log:     l,
		ring:    duty.NewRing[ConfigurationReceived]("registry-catalog", configurationCapacity),
		latest:  duty.NewLatest(rosemarylb.Catalog{}),
		publish: publish,
	}
}

// Start runs the duty. The returned function stops it.
func (c *Configuration) Start(clock rosemarylb.Clock) (*duty.Duty, func()) {
	return duty.StartWithClock[ConfigurationReceived](clock, "registry-catalog", c, c.ring)
}

// Ring returns the ring that feeds the duty.
func (c *Configuration) Ring() *duty.Ring[ConfigurationReceived] {
	return c.ring
}

// Latest returns the latest configuration, of version 0 before the first one, for use
// by other duties.
func (c *Configuration) Latest() *duty.Latest[rosemarylb.Catalog] {
	return c.latest
}

// Handle implements duty.Handler.
func (c *Configuration) Handle(_ time.Time, received ConfigurationReceived) {
	if !received.Catalog.Supersedes(c.latest.Load()) {
		return
	}
	c.latest.Store(received.Catalog)
	c.log.Info("configuration received", "version", received.Catalog.Version, "source", received.Source)
	c.publish(received.Catalog)
}

// Dump implements duty.Handler.
func (c *Configuration) Dump() any {
	return c.latest.Load().Version
}
