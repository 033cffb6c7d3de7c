package objects

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// eraHeader is the header of all answers with the number of restores.
const eraHeader = "Store-Era"

// Copy is a copy of the objects at a revision.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// Copy returns a copy of the present objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision: s.revision,
		objects:  cloneObjects(s.objects),
	}
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	clone := make(map[string]map[string]Object, len(objects))
	for kind, named := range objects {
		clone[kind] = maps.Clone(named)
	}
	return clone
}

// Restore replaces the objects by those of a copy and begins a new era. Revisions after
// the copy are issued again. Watches end: those of a revision that the store does not
// have get 410 Gone.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.oldestRevision = c.revision
	s.objects = cloneObjects(c.objects)
	s.events = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeEra writes the header with the present era. An answer has the era of the state
// that it shows, so that the caller holds the lock.
func (s *Store) writeEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

// RestoreEarlierCopy makes the store unavailable for a time through all views that are
// given, and restores a copy that was made age before.
func (s *Store) RestoreEarlierCopy(age, outage time.Duration, views []*View) {
	c := s.Copy()
	time.Sleep(age)
	for _, v := range views {
		v.SetFaults(Faults{
			Status: http.StatusServiceUnavailable,
		})
	}
	time.Sleep(outage)
	s.Restore(c)
	for _, v := range views {
		v.SetFaults(Faults{})
	}
}
