package endpoint

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults is what an endpoint is told to do wrong. Peers match by a substring
// of their application name.
type Faults struct {
	// Down refuses connections and breaks the open ones.
	Down bool `json:"down"`
	// Frozen keeps silent toward everyone.
	Frozen bool `json:"frozen"`
	// Silent keeps silent toward peers with one of these names.
	Silent []string `json:"silent"`
	// LoseAnswers breaks the connection in place of that many answers to
	// commits and writes.
	LoseAnswers int `json:"lose-answers"`
	// LagMillis delays the receipt of entries.
	LagMillis int64 `json:"lag-millis"`
	// ApplyLagMillis delays what readers see after the receipt.
	ApplyLagMillis int64 `json:"apply-lag-millis"`
	// SlowMillis delays each statement.
	SlowMillis int64 `json:"slow-millis"`
	// ReplicationCut stops the receipt of entries.
	ReplicationCut bool `json:"replication-cut"`
}

// faultPoll is how often a silent connection looks whether it may go on.
const faultPoll = 2 * time.Millisecond

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

// loseAnswer reports whether this answer is to be lost, and counts it.
func (f *faultState) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers == 0 {
		return false
	}
	f.faults.LoseAnswers--
	return true
}

// waitAudible waits while the endpoint is silent toward a peer.
func (f *faultState) waitAudible(peer string, closed <-chan struct{}) {
	for f.silent(peer) {
		select {
		case <-closed:
			return
		case <-time.After(faultPoll):
		}
	}
}

func (f *faultState) silent(peer string) bool {
	faults := f.get()
	if faults.Frozen {
		return true
	}
	for _, name := range faults.Silent {
		if strings.Contains(peer, name) {
			return true
		}
	}
	return false
}

// ServeHTTP takes new faults by PUT and shows them by GET.
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

// SetFaults replaces what the endpoint does wrong.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
	if f.Down {
		s.closeConnections(true)
	}
}
