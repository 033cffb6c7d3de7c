// Package operator serves the operators' HTTP interface of an instance: dumps,
// status, health, metrics, profiles and the start of a graceful shutdown.
package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"rosemarylb"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/stream"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// dumpTimeout bounds the wait for the report of one duty. A duty that calls
	// the platform reports only between two calls.
	dumpTimeout = 200 * time.Millisecond
)

// Dump is the state of an instance and its duties, encoded as JSON.
type Dump struct {
	// Instance is the name of the instance.
	Instance string `json:"instance"`
	// Version is the program's version.
	Version string `json:"version"`
	// Time is when the dump was started.
	Time time.Time `json:"time"`
	// Duties are the reports of the duties.
	Duties []duty.Report `json:"duties"`
	// Unresponsive are the names of the duties that did not report within
	// dumpTimeout, usually because they wait for the platform or another
	// instance.
	Unresponsive []string `json:"waiting"`
}

// Status is the state that an operator watches during a rollout.
type Status struct {
	// Instance is the name of the instance.
	Instance string `json:"instance"`
	// Ready is true while the instance has a configuration and is alive, as
	// /health reports it.
	Ready bool `json:"ready"`
	// Fleet is the instance's view of the fleet.
	Fleet instance.FleetReport `json:"fleet"`
}

// Server serves operators over HTTP.
type Server struct {
	self    rosemarylb.InstanceID
	version string
	view    *duty.Latest[rosemarylb.View]
	duties  []*duty.Duty
	drain   func()
	pool    *budget.Pool
}

// Option configures a server.
type Option func(*Server)

// WithDuties sets the duties whose reports a dump contains.
func WithDuties(duties []*duty.Duty) Option {
	return func(s *Server) {
		s.duties = duties
	}
}

// WithPool sets the pool that limits the connections.
func WithPool(p *budget.Pool) Option {
	return func(s *Server) {
		s.pool = p
	}
}

// WithDrain sets the function that starts a graceful shutdown.
func WithDrain(drain func()) Option {
	return func(s *Server) {
		s.drain = drain
	}
}

// WithVersion sets the program version that a dump reports.
func WithVersion(version string) Option {
	return func(s *Server) {
		s.version = version
	}
}

// Serve starts a server on a listener. The returned function stops it and closes
// the listener.
func Serve(
	listener net.Listener, self rosemarylb.InstanceID, view *duty.Latest[rosemarylb.View], options ...Option,
) func() {
	s := &Server{
		self:  self,
		view:  view,
		drain: func() {},
		pool:  budget.NewPool(0, slog.Default()),
	}
	for _, o := range options {
		o(s)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", s.dump)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("POST /drain", s.startDrain)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return stream.ServeHTTP(listener, budget.ServerOperators, s.pool, mux)
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	d := Dump{
		Instance:     string(s.self),
		Version:      s.version,
		Time:         time.Now(),
		Unresponsive: []string{},
	}
	for _, reporter := range s.duties {
		report, err := dumpDuty(r.Context(), reporter)
		if err != nil {
			d.Unresponsive = append(d.Unresponsive, reporter.Name())
			continue
		}
		d.Duties = append(d.Duties, report)
	}
	writeJSON(w, d)
}

// dumpDuty returns the report of a duty, or an error after dumpTimeout.
func dumpDuty(ctx context.Context, d *duty.Duty) (duty.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	return d.Dump(ctx)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	v := s.view.Load()
	writeJSON(w, Status{
		Instance: string(s.self),
		Ready:    isReady(v),
		Fleet:    instance.NewFleetReport(v),
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !isReady(s.view.Load()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// isReady reports whether an instance has a configuration and is alive in its own
// view of the fleet.
func isReady(v rosemarylb.View) bool {
	return v.ServiceConfig.Revision > 0 && v.Self.Status == rosemarylb.MemberAlive
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

func (s *Server) startDrain(w http.ResponseWriter, _ *http.Request) {
	s.drain()
	_, _ = w.Write([]byte("draining\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		http.Error(w, errors.Wrap(err, "encode").Error(), http.StatusInternalServerError)
	}
}
