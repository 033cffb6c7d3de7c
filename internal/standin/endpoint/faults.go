package endpoint

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are the failures that an endpoint simulates.
type Faults struct {
	// Down rejects new connections, closes the open ones and stops replication.
	Down bool `json:"down"`
	// Unresponsive suspends all responses and replication, and leaves connections
	// open.
	Unresponsive bool `json:"frozen"`
	// UnresponsiveTo suspends the responses to clients whose application name contains
	// one of these strings.
	UnresponsiveTo []string `json:"silent"`
	// DropResponses is the number of committed writes whose response is dropped:
	// the connection is closed after the commit, and the outcome is unknown to
	// the client.
	DropResponses int `json:"lose-answers"`
	// ReplicationLagMillis is the replication delay from the commit of a log entry
	// to its receipt by a replica, in milliseconds.
	ReplicationLagMillis int64 `json:"lag-millis"`
	// ApplyLagMillis is the further delay until a replica applies a received
	// entry and queries see it, in milliseconds.
	ApplyLagMillis int64 `json:"apply-lag-millis"`
	// StatementDelayMillis is the delay of each statement, in milliseconds.
	StatementDelayMillis int64 `json:"slow-millis"`
	// ReplicationStopped stops replication from the upstream.
	ReplicationStopped bool `json:"replication-cut"`
}

// unresponsivePollInterval is the interval at which a suspended connection
// checks whether the fault has been cleared.
const unresponsivePollInterval = 2 * time.Millisecond

// faultState guards the current faults for concurrent use.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// consumeLostResponse reports whether the next response has to be dropped, and
// decrements the number of responses to drop.
func (f *faultState) consumeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DropResponses == 0 {
		return false
	}
	f.faults.DropResponses--
	return true
}

// waitWhileUnresponsive blocks while responses to a client are suspended, or until
// its connection is closed.
func (f *faultState) waitWhileUnresponsive(applicationName string, closed <-chan struct{}) {
	for f.isUnresponsiveTo(applicationName) {
		select {
		case <-closed:
			return
		case <-time.After(unresponsivePollInterval):
		}
	}
}

// isUnresponsiveTo reports whether responses to a client are suspended.
func (f *faultState) isUnresponsiveTo(applicationName string) bool {
	faults := f.get()
	if faults.Unresponsive {
		return true
	}
	for _, name := range faults.UnresponsiveTo {
		if strings.Contains(applicationName, name) {
			return true
		}
	}
	return false
}

// ServeHTTP replaces the faults on PUT and returns the current ones on any
// method, as JSON.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	}
	_ = json.NewEncoder(w).Encode(s.faults.get())
}

// SetFaults replaces the faults. Down also closes the open connections.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	if faults.Down {
		s.closeConnections(true)
	}
}
