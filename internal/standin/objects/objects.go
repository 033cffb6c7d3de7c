// Package objects is a stand-in for the users' platform: an HTTP store of objects
// with revisions and watches, and the endpoint that promotes a database server.
package objects

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Object is a stored object.
type Object struct {
	// Meta holds the name and the revision.
	Meta Meta `json:"meta"`
	// Spec is the content.
	Spec json.RawMessage `json:"spec"`
}

// Meta is the metadata of an object.
type Meta struct {
	// Name is unique within the kind.
	Name string `json:"name"`
	// Revision is the store revision of the last change.
	Revision uint64 `json:"revision"`
}

// event is a change of an object, as watches receive it.
type event struct {
	kind     string
	revision uint64
	object   Object
	deleted  bool
}

// PromotionRequest is a promotion request.
type PromotionRequest struct {
	// Group and Endpoint name the endpoint to promote.
	Group, Endpoint string
	// Holder is the instance that sent it, Token its fencing token.
	Holder string
	Token  uint64
	// ReceivedAt is the time of receipt.
	ReceivedAt time.Time
}

// Store is the state of the platform, shared by all views.
type Store struct {
	mu             sync.Mutex
	era            uint64
	revision       uint64
	oldestRevision uint64
	objects        map[string]map[string]Object
	events         []event
	changed        chan struct{}
	defaultView    *View
	callCount      int
	pageSize       int
	promote        func(group, id string) bool
	promotions     []PromotionRequest
}

// NewStore returns an empty store. The promote function performs promotions and
// returns false to reject one.
func NewStore(promote func(group, id string) bool) *Store {
	s := &Store{
		revision: 1,
		objects:  map[string]map[string]Object{},
		changed:  make(chan struct{}),
		pageSize: 2,
		promote:  promote,
	}
	s.defaultView = s.View(unchanged)
	return s
}

// SetFaults replaces the faults of calls that do not come through a view.
func (s *Store) SetFaults(faults Faults) {
	s.defaultView.SetFaults(faults)
}

// Calls returns the number of calls received, through any view.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// FencingTokens returns the fencing tokens of the promotion requests in order of
// receipt.
func (s *Store) FencingTokens() []uint64 {
	var tokens []uint64
	for _, o := range s.PromotionRequests() {
		tokens = append(tokens, o.Token)
	}
	return tokens
}

// PromotionRequests returns the promotion requests in order of receipt.
func (s *Store) PromotionRequests() []PromotionRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promotions)
}

// Compact compacts the history. A watch of an older revision gets 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldestRevision = s.revision
}

// Put writes an object regardless of its revision.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, text)
}

// Spec returns the content of an object, nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.recordEvent(kind, object, true)
}

// putLocked writes an object. The caller holds the lock.
func (s *Store) putLocked(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	object := Object{
		Meta: Meta{
			Name:     name,
			Revision: s.revision + 1,
		},
		Spec: spec,
	}
	s.objects[kind][name] = object
	s.recordEvent(kind, object, false)
	return object
}

// recordEvent appends an event with the next revision and wakes all watches. The
// caller holds the lock.
func (s *Store) recordEvent(kind string, object Object, deleted bool) {
	s.revision++
	s.events = append(s.events, event{
		kind:     kind,
		revision: s.revision,
		object:   object,
		deleted:  deleted,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.defaultView.ServeHTTP(w, r)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) servePromote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	s.mu.Lock()
	s.promotions = append(s.promotions, PromotionRequest{
		Group:      body.Service,
		Endpoint:   body.ID,
		Holder:     r.Header.Get("Duty-Holder"),
		Token:      token,
		ReceivedAt: time.Now(),
	})
	s.mu.Unlock()
	if !s.promote(body.Service, body.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

// serveWrite handles a conditional write. A lost response closes the connection,
// as if it had failed.
func (v *View) serveWrite(w http.ResponseWriter, r *http.Request, parts []string, faults Faults) {
	s := v.store
	var object Object
	_ = json.NewDecoder(r.Body).Decode(&object)
	object.Spec = v.rewriteWrite(parts[1], object.Spec)
	loseResponse := faults.LoseWriteResponses || rand.Float64() < faults.LoseWriteProbability
	if loseResponse && faults.WriteDelay > 0 {
		time.AfterFunc(faults.WriteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeLocked(r.Method, parts[1], object)
		})
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	status, current := s.writeLocked(r.Method, parts[1], object)
	s.writeEra(w)
	s.mu.Unlock()
	switch {
	case status == http.StatusNotFound:
		w.WriteHeader(status)
	case status == http.StatusOK && loseResponse:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, status, v.rewritten(parts[1], current))
	}
}

// writeLocked writes an object if its revision is the current one; a PUT of a missing
// object is an error. It returns the HTTP status and the object that is stored
// afterwards. The caller holds the lock.
func (s *Store) writeLocked(method, kind string, object Object) (int, Object) {
	current, found := s.objects[kind][object.Meta.Name]
	switch {
	case found && object.Meta.Revision != current.Meta.Revision:
		return http.StatusConflict, current
	case !found && method == http.MethodPut:
		return http.StatusNotFound, Object{}
	default:
		return http.StatusOK, s.putLocked(kind, object.Meta.Name, object.Spec)
	}
}
