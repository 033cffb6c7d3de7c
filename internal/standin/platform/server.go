// Package platform is a stand-in for the platform's service. It keeps objects
// in memory and can be told to fail. It serves tests and the demo.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pollInterval is how often a watch looks for a change.
	pollInterval = 2 * time.Millisecond
	// watchLimit bounds a watch, and watchSlack ends it before the client's
	// own deadline.
	watchLimit = 2 * time.Second
)

// Faults is what the service is told to do wrong.
type Faults struct {
	// Down breaks every call.
	Down bool `json:"down"`
	// LoseAnswers breaks the connection in place of that many answers to
	// writes, after their effect.
	LoseAnswers int `json:"lose-answers"`
	// SlowMillis delays each call.
	SlowMillis int64 `json:"slow-millis"`
	// WatchesBroken breaks every watch.
	WatchesBroken bool `json:"watches-broken"`
}

type object struct {
	Metadata metadata `json:"metadata"`
	Data     []byte   `json:"data"`
}

type metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion"`
}

// Instance is an entry of the list of instances.
type Instance struct {
	// Name names the instance.
	Name string `json:"name"`
	// Address is where other instances reach it.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Region is the region of that domain.
	Region string `json:"region"`
	// Leaving is true while it is being removed.
	Leaving bool `json:"leaving"`
}

type instances struct {
	Items []Instance `json:"items"`
}

// Server is a running service.
type Server struct {
	listener net.Listener
	server   *http.Server
	mux      *http.ServeMux

	mu        sync.Mutex
	faults    Faults
	version   uint64
	objects   map[string]object
	instances []Instance
	calls     int
}

// NewServer starts a service on an address such as 127.0.0.1:0. The returned
// function stops it.
func NewServer(address string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		listener: listener,
		objects:  map[string]object{},
		mux:      http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /api/v1/objects/{name}", s.get)
	s.mux.HandleFunc("PUT /api/v1/objects/{name}", s.put)
	s.mux.HandleFunc("GET /api/v1/instances", s.list)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("PUT /instances", s.putInstances)
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serve),
	}
	go func() {
		_ = s.server.Serve(listener)
	}()
	return s, func() {
		_ = s.server.Close()
	}, nil
}

// Address returns the host:port of the service.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// SetFaults replaces what the service does wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(list []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = list
}

// Calls returns how many calls were made, a watch counted as one.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) state() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	f := s.state()
	if f.Down && r.URL.Path != "/faults" {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if r.URL.Query().Get("watch") != "" {
		s.awaitChange(r, name)
	}
	s.mu.Lock()
	o, found := s.objects[name]
	s.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

// awaitChange waits until an object has another version.
func (s *Server) awaitChange(r *http.Request, name string) {
	version := r.URL.Query().Get("resourceVersion")
	deadline := time.Now().Add(watchLimit)
	for time.Now().Before(deadline) && r.Context().Err() == nil {
		f := s.state()
		if f.Down || f.WatchesBroken {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		o, found := s.objects[name]
		s.mu.Unlock()
		if found && o.Metadata.ResourceVersion != version {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var wanted object
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := "0"
	if o, found := s.objects[name]; found {
		standing = o.Metadata.ResourceVersion
	}
	if wanted.Metadata.ResourceVersion != standing {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.version++
	wanted.Metadata.Name = name
	wanted.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	s.objects[name] = wanted
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(wanted)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(instances{
		Items: s.instances,
	})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request) {
	var list instances
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list.Items)
}
