// Package platform implements a simulated platform service for tests and the
// demo. It keeps objects in memory and can inject faults.
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
	// watchPollInterval is the interval at which a watch checks for a change.
	watchPollInterval = 2 * time.Millisecond
	// watchTimeout bounds a watch, which then returns the unchanged object. It
	// is shorter than the client's own deadline.
	watchTimeout = 2 * time.Second
)

// Faults are the failures that the service simulates.
type Faults struct {
	// Down aborts every request.
	Down bool `json:"down"`
	// DropResponses is the number of successful writes whose response is dropped:
	// the connection is closed after the write, and the outcome is unknown to
	// the client.
	DropResponses int `json:"lose-answers"`
	// RequestDelayMillis is the delay of each request, in milliseconds.
	RequestDelayMillis int64 `json:"slow-millis"`
	// WatchesFail aborts every watch.
	WatchesFail bool `json:"watches-broken"`
}

// object is a stored object in its JSON form. Its resource version changes with
// each write.
type object struct {
	Metadata metadata `json:"metadata"`
	Data     []byte   `json:"data"`
}

// metadata identifies an object and its version.
type metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion"`
}

// Instance is a registered instance of the proxy.
type Instance struct {
	// Name is the unique name of the instance.
	Name string `json:"name"`
	// Address is the host:port at which other instances reach it.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Region is the region of that domain.
	Region string `json:"region"`
	// Leaving reports whether the instance is being removed.
	Leaving bool `json:"leaving"`
}

// instanceList is the JSON form of the list of instances.
type instanceList struct {
	Items []Instance `json:"items"`
}

// Server is a simulated platform service.
type Server struct {
	listener   net.Listener
	httpServer *http.Server
	mux        *http.ServeMux

	mu              sync.Mutex
	faults          Faults
	resourceVersion uint64
	objects         map[string]object
	instances       []Instance
	callCount       int
}

// NewServer starts a service that listens on a host:port; port 0 selects a free
// one. The returned function stops the service.
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
	s.mux.HandleFunc("GET /api/v1/objects/{name}", s.handleGetObject)
	s.mux.HandleFunc("PUT /api/v1/objects/{name}", s.handlePutObject)
	s.mux.HandleFunc("GET /api/v1/instances", s.handleListInstances)
	s.mux.HandleFunc("PUT /faults", s.handlePutFaults)
	s.mux.HandleFunc("PUT /instances", s.handlePutInstances)
	s.httpServer = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP),
	}
	go func() {
		_ = s.httpServer.Serve(listener)
	}()
	return s, func() {
		_ = s.httpServer.Close()
	}, nil
}

// Address returns the host:port of the HTTP server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
}

// RequestCount returns the number of requests received. A watch counts as one.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveHTTP counts a request and applies the faults before it is routed. Requests
// that set faults pass while the service is down.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.callCount++
	s.mu.Unlock()
	faults := s.currentFaults()
	if faults.Down && r.URL.Path != "/faults" {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(faults.RequestDelayMillis) * time.Millisecond)
	s.mux.ServeHTTP(w, r)
}

// handleGetObject returns an object, with the watch parameter once it changes.
func (s *Server) handleGetObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if r.URL.Query().Get("watch") != "" {
		s.waitForChange(r, name)
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

// waitForChange blocks until an object has another resource version than the
// request, or until watchTimeout has passed or the client has gone.
func (s *Server) waitForChange(r *http.Request, name string) {
	version := r.URL.Query().Get("resourceVersion")
	deadline := time.Now().Add(watchTimeout)
	for time.Now().Before(deadline) && r.Context().Err() == nil {
		faults := s.currentFaults()
		if faults.Down || faults.WatchesFail {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		o, found := s.objects[name]
		s.mu.Unlock()
		if found && o.Metadata.ResourceVersion != version {
			return
		}
		time.Sleep(watchPollInterval)
	}
}

// handlePutObject stores an object if the request has its current resource
// version, which is 0 for a new object.
func (s *Server) handlePutObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var requested object
	if err := json.NewDecoder(r.Body).Decode(&requested); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	currentVersion := "0"
	if o, found := s.objects[name]; found {
		currentVersion = o.Metadata.ResourceVersion
	}
	if requested.Metadata.ResourceVersion != currentVersion {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.resourceVersion++
	requested.Metadata.Name = name
	requested.Metadata.ResourceVersion = strconv.FormatUint(s.resourceVersion, 10)
	s.objects[name] = requested
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(requested)
}

func (s *Server) handleListInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(instanceList{
		Items: s.instances,
	})
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) handlePutInstances(w http.ResponseWriter, r *http.Request) {
	var list instanceList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list.Items)
}
