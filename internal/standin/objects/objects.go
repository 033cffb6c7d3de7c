// Package objects is a stand-in of the users' platform: its store of objects
// with revisions and watches, and its call to promote.
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

// Object is an object of the store.
type Object struct {
	// Meta names it.
	Meta Meta `json:"meta"`
	// Spec is its content.
	Spec json.RawMessage `json:"spec"`
}

// Meta is an object's name and revision.
type Meta struct {
	// Name names the object within its kind.
	Name string `json:"name"`
	// Revision is that of its last change.
	Revision uint64 `json:"revision"`
}

// event is a change of a kind.
type event struct {
	kind     string
	revision uint64
	object   Object
	deleted  bool
}

// Order is one call to promote.
type Order struct {
	// Group and Endpoint are what was to be promoted.
	Group, Endpoint string
	// Holder and Token are who ordered it.
	Holder string
	Token  uint64
	// At is when it came.
	At time.Time
}

// Store is the stand-in's state.
type Store struct {
	mu       sync.Mutex
	revision uint64
	oldest   uint64
	objects  map[string]map[string]Object
	events   []event
	changed  chan struct{}
	own      *View
	calls    int
	pageSize int
	promote  func(group, id string) bool
	orders   []Order
}

// NewStore returns an empty store. The function carries out promotions, and
// returns false when it refuses.
func NewStore(promote func(group, id string) bool) *Store {
	s := &Store{
		revision: 1,
		objects:  map[string]map[string]Object{},
		changed:  make(chan struct{}),
		pageSize: 2,
		promote:  promote,
	}
	s.own = s.View(func(_ string, spec json.RawMessage) json.RawMessage {
		return spec
	})
	return s
}

// SetFaults changes what goes wrong.
func (s *Store) SetFaults(f Faults) {
	s.own.SetFaults(f)
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Tokens returns the fencing tokens of the promotions, in order.
func (s *Store) Tokens() []uint64 {
	var tokens []uint64
	for _, o := range s.Orders() {
		tokens = append(tokens, o.Token)
	}
	return tokens
}

// Orders returns the calls to promote, in order.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Forget drops the history: watches of older revisions are gone.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldest = s.revision
}

// Put writes an object, whatever its revision.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.note(kind, o, true)
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	o := Object{
		Meta: Meta{
			Name:     name,
			Revision: s.revision + 1,
		},
		Spec: spec,
	}
	s.objects[kind][name] = o
	s.note(kind, o, false)
	return o
}

func (s *Store) note(kind string, o Object, deleted bool) {
	s.revision++
	s.events = append(s.events, event{
		kind:     kind,
		revision: s.revision,
		object:   o,
		deleted:  deleted,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.own.ServeHTTP(w, r)
}

func answer(w http.ResponseWriter, status int, body any) {
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
	s.orders = append(s.orders, Order{
		Group:    body.Service,
		Endpoint: body.ID,
		Holder:   r.Header.Get("Duty-Holder"),
		Token:    token,
		At:       time.Now(),
	})
	s.mu.Unlock()
	if !s.promote(body.Service, body.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, parts []string, faults Faults) {
	var o Object
	_ = json.NewDecoder(r.Body).Decode(&o)
	lost := faults.LoseWrites || rand.Float64() < faults.LoseSome
	if lost && faults.Late > 0 {
		time.AfterFunc(faults.Late, func() {
			s.write(r.Method, parts[1], o)
		})
		panic(http.ErrAbortHandler)
	}
	status, stands := s.write(r.Method, parts[1], o)
	switch {
	case status == http.StatusNotFound:
		w.WriteHeader(status)
	case status == http.StatusOK && lost:
		panic(http.ErrAbortHandler)
	default:
		answer(w, status, stands)
	}
}

// write does a write if its condition holds, and returns what stands.
func (s *Store) write(method, kind string, o Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands, found := s.objects[kind][o.Meta.Name]
	switch {
	case found && o.Meta.Revision != stands.Meta.Revision:
		return http.StatusConflict, stands
	case !found && method == http.MethodPut:
		return http.StatusNotFound, Object{}
	default:
		return http.StatusOK, s.put(kind, o.Meta.Name, o.Spec)
	}
}
