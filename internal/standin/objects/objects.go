// Package objects is a stand-in of the users' platform: its store of objects
// with revisions and watches, and its call to promote.
package objects

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
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

// Faults are what goes wrong with calls.
type Faults struct {
	// Status answers each call with it, when it is not 0.
	Status int
	// LoseWrites has writes done and not answered.
	LoseWrites bool
}

// Store is the stand-in's state.
type Store struct {
	mu       sync.Mutex
	revision uint64
	oldest   uint64
	objects  map[string]map[string]Object
	events   []event
	changed  chan struct{}
	faults   Faults
	calls    int
	pageSize int
	promote  func(group, id string) bool
	tokens   []uint64
}

// NewStore returns an empty store. The function carries out promotions, and
// returns false when it refuses.
func NewStore(promote func(group, id string) bool) *Store {
	return &Store{
		revision: 1,
		objects:  map[string]map[string]Object{},
		changed:  make(chan struct{}),
		pageSize: 2,
		promote:  promote,
	}
}

// SetFaults changes what goes wrong.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Tokens returns the fencing tokens of the promotions, in order.
func (s *Store) Tokens() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tokens)
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
	s.mu.Lock()
	s.calls++
	status := s.faults.Status
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	if r.URL.Path == "/promote" {
		s.servePromote(w, r)
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case len(parts) < 2 || parts[0] != "objects":
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodGet:
		s.serveWrite(w, r, parts)
	case len(parts) == 3:
		s.serveGet(w, parts[1], parts[2])
	case r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, parts[1])
	default:
		s.serveList(w, parts[1], r.URL.Query().Get("after"))
	}
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
	s.tokens = append(s.tokens, token)
	s.mu.Unlock()
	if !s.promote(body.Service, body.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, parts []string) {
	var o Object
	_ = json.NewDecoder(r.Body).Decode(&o)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := o.Meta.Name
	stands, found := s.objects[parts[1]][name]
	conflict := found && o.Meta.Revision != stands.Meta.Revision
	switch {
	case conflict:
		answer(w, http.StatusConflict, stands)
		return
	case !found && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	done := s.put(parts[1], name, o.Spec)
	if s.faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, done)
}

func (s *Store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > s.pageSize
	if more {
		names = names[:s.pageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at_rev": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
