package keeping

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"rosemarylb"
)

// storeSpan is how recent the store's last answer to this instance has to be
// for it to tell others: the entries of endpoints change every second or so.
const storeSpan = 2500 * time.Millisecond

// list is the list of endpoints that the holder tells others, and its version.
type list struct {
	endpoints []rosemarylb.EndpointSpec
	version   uint64
}

// newList returns a list with a version that is the same for the same content.
func newList(endpoints []rosemarylb.EndpointSpec) list {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(x, y rosemarylb.EndpointSpec) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	h := fnv.New64a()
	for _, e := range sorted {
		for _, text := range []string{
			string(e.ID), string(e.Database), e.Address, string(e.Domain), string(e.Region),
		} {
			_, _ = h.Write([]byte(text + "\x00"))
		}
		_ = binary.Write(h, binary.LittleEndian, []int64{
			int64(e.Slots), e.Born, boolean(e.Leaving), boolean(e.Primary),
		})
	}
	return list{
		endpoints: sorted,
		version:   h.Sum64(),
	}
}

func boolean(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// tells reports whether an instance is told what changes in the store.
func (n *Keeping) tells(to rosemarylb.InstanceID, now time.Time) bool {
	lately := n.heard != nil && now.Sub(n.heard.Load()) < storeSpan
	return lately && n.list.version != 0 && n.keeper.Notifies(to, now)
}
