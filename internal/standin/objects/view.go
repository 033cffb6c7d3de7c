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

// Faults are what goes wrong with calls.
type Faults struct {
	// Status answers each call with it, when it is not 0.
	Status int
	// LoseWrites has writes done and not answered.
	LoseWrites bool
	// LoseSome is the part of the writes that are done and not answered.
	LoseSome float64
	// Delay answers each call that much later.
	Delay time.Duration
	// Late does lost writes only after it, if their condition still holds.
	Late time.Duration
}

// View is the store as one instance sees it.
type View struct {
	store   *Store
	rewrite func(kind string, spec json.RawMessage) json.RawMessage

	mu     sync.Mutex
	faults Faults
	calls  int
}

// View returns the store as one instance sees it: what it reads is rewritten,
// and calls through the view have faults of their own.
func (s *Store) View(rewrite func(kind string, spec json.RawMessage) json.RawMessage) *View {
	return &View{
		store:   s,
		rewrite: rewrite,
	}
}

// SetFaults changes what goes wrong with calls through the view.
func (v *View) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// Calls returns how many calls came through the view.
func (v *View) Calls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

// called counts a call, and returns what goes wrong with it.
func (v *View) called() Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	return v.faults
}

// ServeHTTP implements http.Handler.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := v.store
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	faults := v.called()
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
		s.serveWrite(w, r, parts, faults)
	case len(parts) == 3:
		v.serveGet(w, parts[1], parts[2])
	case r.URL.Query().Get("watch") != "":
		v.serveWatch(w, r, parts[1])
	default:
		v.serveList(w, parts[1], r.URL.Query().Get("after"))
	}
}

// seen returns an object as it looks through the view.
func (v *View) seen(kind string, o Object) Object {
	o.Spec = v.rewrite(kind, o.Spec)
	return o
}

func (v *View) serveGet(w http.ResponseWriter, kind, name string) {
	s := v.store
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, v.seen(kind, o))
}

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
	more := len(names) > s.pageSize
	if more {
		names = names[:s.pageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, v.seen(kind, s.objects[kind][name]))
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at_rev": s.revision})
}

func (v *View) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	s := v.store
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
				events = append(events, map[string]any{"object": v.seen(kind, e.object), "deleted": e.deleted})
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
