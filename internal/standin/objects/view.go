package objects

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that calls meet.
type Faults struct {
	// Status is the HTTP status of every response, 0 to handle calls normally.
	Status int
	// LoseWriteResponses performs every write but loses the response.
	LoseWriteResponses bool
	// LoseWriteProbability is the probability, from 0 to 1, that the response to a
	// write is lost.
	LoseWriteProbability float64
	// Delay is added to the time of each call.
	Delay time.Duration
	// WriteDelay delays writes whose response is lost; they are performed only if their
	// condition holds by then.
	WriteDelay time.Duration
}

// View serves the store to one instance.
type View struct {
	store   *Store
	rewrite Rewrite
	// rewriteWrite is applied to what the instance writes.
	rewriteWrite Rewrite

	mu          sync.Mutex
	faults      Faults
	callCount   int
	callsByKind map[string]int
}

// Rewrite returns the content of an object of a kind as one side sees it.
type Rewrite func(kind string, spec json.RawMessage) json.RawMessage

// unchanged is the rewrite that changes nothing.
func unchanged(_ string, spec json.RawMessage) json.RawMessage {
	return spec
}

// ViewOption changes a view under construction.
type ViewOption func(*View)

// WithWrites sets the rewrite of the objects that the instance writes. The default
// changes nothing.
func WithWrites(rewrite Rewrite) ViewOption {
	return func(v *View) {
		v.rewriteWrite = rewrite
	}
}

// View returns a view for one instance. Objects that it reads pass through the
// rewrite function, and its calls have their own faults.
func (s *Store) View(rewrite Rewrite, options ...ViewOption) *View {
	v := &View{
		store:        s,
		rewrite:      rewrite,
		rewriteWrite: unchanged,

		callsByKind: map[string]int{},
	}
	for _, o := range options {
		o(v)
	}
	return v
}

// SetFaults replaces the faults of calls through the view.
func (v *View) SetFaults(faults Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = faults
}

// Calls returns the number of calls received through the view.
func (v *View) Calls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.callCount
}

// CallsByKind returns the number of calls received through the view, by a text such as
// "GET servers" or "WATCH config".
func (v *View) CallsByKind() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.callsByKind)
}

// callKind describes a call for CallsByKind.
func callKind(r *http.Request) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.URL.Query().Get("watch") != "" {
		return "WATCH " + kind
	}
	return r.Method + " " + kind
}

// countCall counts a call and returns the faults that apply to it.
func (v *View) countCall(r *http.Request) Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.callCount++
	v.callsByKind[callKind(r)]++
	return v.faults
}

// ServeHTTP implements http.Handler.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := v.store
	s.mu.Lock()
	s.callCount++
	s.writeEra(w)
	s.mu.Unlock()
	faults := v.countCall(r)
	time.Sleep(faults.Delay)
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
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
		v.serveWrite(w, r, parts, faults)
	case len(parts) == 3:
		v.serveGet(w, parts[1], parts[2])
	case r.URL.Query().Get("watch") != "":
		v.serveWatch(w, r, parts[1])
	default:
		v.serveList(w, parts[1], r.URL.Query().Get("after"))
	}
}

// rewritten returns an object with its content rewritten for the view.
func (v *View) rewritten(kind string, object Object) Object {
	object.Spec = v.rewrite(kind, object.Spec)
	return object
}

func (v *View) serveGet(w http.ResponseWriter, kind, name string) {
	s := v.store
	s.mu.Lock()
	object, found := s.objects[kind][name]
	s.writeEra(w)
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, v.rewritten(kind, object))
}

// serveList returns a page of objects in the order of their names.
func (v *View) serveList(w http.ResponseWriter, kind, after string) {
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.writeEra(w)
	hasMore := len(names) > s.pageSize
	if hasMore {
		names = names[:s.pageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, v.rewritten(kind, s.objects[kind][name]))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "at_rev": s.revision})
}

// serveWatch returns the events of a kind after a revision. It waits for the first
// one, and returns none when the wait of the call has passed.
func (v *View) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	s := v.store
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.writeEra(w)
		if since < s.oldestRevision || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": v.rewritten(kind, e.object), "deleted": e.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
