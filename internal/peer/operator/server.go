// Package operator answers the operators: dumps, metrics, health and drain.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"rosemarylb"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// dumpTimeout bounds the report of one duty. Duties that wait for the
	// platform answer only between two calls.
	dumpTimeout = 200 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 2 * time.Second
)

// Dump is the state of a process.
type Dump struct {
	// Instance names the instance.
	Instance string `json:"instance"`
	// Version is the program's version.
	Version string `json:"version"`
	// Time is when the dump was made.
	Time time.Time `json:"time"`
	// Duties are the reports of the duties.
	Duties []duty.Report `json:"duties"`
	// Waiting names the duties that gave no report in time: they wait for the
	// platform or another instance.
	Waiting []string `json:"waiting"`
}

// Status is what an operator follows during a rollout.
type Status struct {
	// Instance names the instance.
	Instance string `json:"instance"`
	// Ready is true while the instance serves.
	Ready bool `json:"ready"`
	// Fleet is the instance's view of the fleet.
	Fleet instance.FleetReport `json:"fleet"`
}

// Server answers operators over HTTP.
type Server struct {
	self    rosemarylb.InstanceID
	version string
	view    *duty.Latest[rosemarylb.View]
	duties  []*duty.Duty
	drain   func()
}

// Option changes a server under construction.
type Option func(*Server)

// WithDuties sets the duties that a dump asks.
func WithDuties(duties []*duty.Duty) Option {
	return func(s *Server) {
		s.duties = duties
	}
}

// WithDrain sets what starts a graceful shutdown.
func WithDrain(drain func()) Option {
	return func(s *Server) {
		s.drain = drain
	}
}

// WithVersion sets the program's version.
func WithVersion(version string) Option {
	return func(s *Server) {
		s.version = version
	}
}

// Serve answers operators on a listener. The returned function stops it.
func Serve(
	listener net.Listener, self rosemarylb.InstanceID, view *duty.Latest[rosemarylb.View], options ...Option,
) func() {
	s := &Server{
		self:  self,
		view:  view,
		drain: func() {},
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
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
	wait := duty.Spawn(func() {
		_ = server.Serve(listener)
	})
	return func() {
		_ = server.Close()
		wait()
	}
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	d := Dump{
		Instance: string(s.self),
		Version:  s.version,
		Time:     time.Now(),
		Waiting:  []string{},
	}
	for _, k := range s.duties {
		report, err := reportOf(r.Context(), k)
		if err != nil {
			d.Waiting = append(d.Waiting, k.Name())
			continue
		}
		d.Duties = append(d.Duties, report)
	}
	writeJSON(w, d)
}

func reportOf(ctx context.Context, d *duty.Duty) (duty.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	return d.Dump(ctx)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	v := s.view.Load()
	writeJSON(w, Status{
		Instance: string(s.self),
		Ready:    ready(v),
		Fleet:    instance.NewFleetReport(v),
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !ready(s.view.Load()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func ready(v rosemarylb.View) bool {
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
