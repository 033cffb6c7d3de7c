package keeperduty

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"rosemarylb"
)

// storeAnswerMaxAge is the maximum age of the store's last answer at which this
// instance still reports changes to others. The entries of endpoints change about
// once a second.
const storeAnswerMaxAge = 2500 * time.Millisecond

// endpointList is the list of endpoints that the lease holder sends to other
// instances. A version of 0 means that no list is known.
type endpointList struct {
	endpoints []rosemarylb.EndpointSpec
	version   uint64
}

// newEndpointList returns the list sorted by ID, with a hash of its content as the
// version.
func newEndpointList(endpoints []rosemarylb.EndpointSpec) endpointList {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(x, y rosemarylb.EndpointSpec) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	hash := fnv.New64a()
	for _, e := range sorted {
		for _, text := range []string{
			string(e.ID), string(e.Database), e.Address, string(e.Domain), string(e.Region),
		} {
			_, _ = hash.Write([]byte(text + "\x00"))
		}
		_ = binary.Write(hash, binary.LittleEndian, []int64{
			int64(e.Slots), e.Born, boolToInt64(e.Leaving), boolToInt64(e.Primary),
		})
	}
	return endpointList{
		endpoints: sorted,
		version:   hash.Sum64(),
	}
}

func boolToInt64(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// notifies reports whether this instance sends changes in the store to another one.
func (r *Runner) notifies(to rosemarylb.InstanceID, now time.Time) bool {
	storeAnswers := r.storeAnsweredAt != nil && now.Sub(r.storeAnsweredAt.Load()) < storeAnswerMaxAge
	return storeAnswers && r.endpoints.version != 0 && r.keeper.Notifies(to, now)
}
