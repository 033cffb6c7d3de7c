//go:build review2

package harness2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	Meta struct {
		Name       string `json:"name"`
		Revision   uint64 `json:"revision"`
		CreatedRev uint64 `json:"created_rev"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   storeObject
	deleted  bool
}

// platform is a stand-in of the platform: its store and its promotion API.
type platform struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[string]map[string]storeObject
	events    []storeEvent
	compacted uint64
	changed   chan struct{}
	promote   func(service, id string) bool
	rec       *record
}

func newPlatform(rec *record, promote func(service, id string) bool) *platform {
	return &platform{
		revision: 100,
		objects:  map[string]map[string]storeObject{},
		changed:  make(chan struct{}),
		promote:  promote,
		rec:      rec,
	}
}

// listen serves the platform to one machine.
func (p *platform) listen(address string) {
	l, err := net.Listen("tcp", address)
	fatal(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.serve(w, r)
		}))
	}()
}

// put writes an object as the operator or a backend does.
func (p *platform) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	fatal(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.write(kind, name, text)
}

func (p *platform) remove(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, found := p.objects[kind][name]
	if found {
		delete(p.objects[kind], name)
		p.event(kind, o, true)
	}
}

// get returns the content of an object, nil if there is none.
func (p *platform) get(kind, name string) json.RawMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects[kind][name].Spec
}

func (p *platform) write(kind, name string, spec json.RawMessage) storeObject {
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]storeObject{}
	}
	o, found := p.objects[kind][name]
	o.Meta.Name = name
	o.Meta.Revision = p.revision + 1
	if !found {
		o.Meta.CreatedRev = p.revision + 1
	}
	o.Spec = spec
	p.objects[kind][name] = o
	p.event(kind, o, false)
	return o
}

func (p *platform) event(kind string, o storeObject, deleted bool) {
	p.revision++
	p.events = append(p.events, storeEvent{kind: kind, revision: p.revision, object: o, deleted: deleted})
	close(p.changed)
	p.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	fatal(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	if r.URL.Path == "/promote" {
		p.servePromote(w, r)
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		p.serveWrite(w, r, parts)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case len(parts) == 3:
		p.serveGet(w, parts[1], parts[2])
	case r.URL.Query().Has("watch"):
		p.serveWatch(w, r, parts[1])
	default:
		p.serveList(w, parts[1], r.URL.Query().Get("after"))
	}
}

func (p *platform) servePromote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	token := r.Header.Get("Fencing-Token")
	p.rec.line("platform: promotion of %s by %s, token %s", body.ID, r.Header.Get("Duty-Holder"), token)
	if !p.promote(body.Service, body.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (p *platform) serveGet(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	o, found := p.objects[kind][name]
	p.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (p *platform) serveList(w http.ResponseWriter, kind, after string) {
	p.mu.Lock()
	var names []string
	for name := range p.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []storeObject{}
	for _, name := range names {
		items = append(items, p.objects[kind][name])
	}
	revision := p.revision
	p.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at_rev": revision})
}

func (p *platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		if since < p.compacted || since > p.revision {
			p.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, e := range p.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		revision, changed := p.revision, p.changed
		p.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) serveWrite(w http.ResponseWriter, r *http.Request, parts []string) {
	var o storeObject
	_ = json.NewDecoder(r.Body).Decode(&o)
	if len(parts) == 3 {
		o.Meta.Name = parts[2]
	}
	p.mu.Lock()
	current, found := p.objects[parts[1]][o.Meta.Name]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPost && found:
		status = http.StatusConflict
	case r.Method == http.MethodPut && !found:
		status = http.StatusNotFound
	case o.Meta.Revision != 0 && o.Meta.Revision != current.Meta.Revision:
		status = http.StatusConflict
	case r.Method == http.MethodPut && string(o.Spec) == string(current.Spec):
	default:
		current = p.write(parts[1], o.Meta.Name, o.Spec)
	}
	p.mu.Unlock()
	answer(w, status, current)
}
