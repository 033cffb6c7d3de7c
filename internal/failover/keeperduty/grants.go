package keeperduty

import (
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/permit"
)

// maxGrantLists is the number of lists of grants that are kept. Instances name a former
// list in the requests that they send before they receive the present one.
const maxGrantLists = 8

// grantLists are the last lists of grants of this instance as the lease holder, the
// present one first.
type grantLists struct {
	lists []permit.GrantList
}

// withGrants returns the lists with one of the given content as the present one. They
// are the same if the content has not changed.
func (l grantLists) withGrants(token uint64, grants []keeper.Grant) grantLists {
	if len(l.lists) > 0 && l.lists[0].Has(token, grants) {
		return l
	}
	lists := append([]permit.GrantList{permit.NewGrantList(token, grants)}, l.lists...)
	return grantLists{
		lists: lists[:min(len(lists), maxGrantLists)],
	}
}

// version returns the version of the present list, 0 if there is none.
func (l grantLists) version() uint64 {
	if len(l.lists) == 0 {
		return 0
	}
	return l.lists[0].Version()
}

// order returns grants, with their positions, in the order of the present list.
func (l grantLists) order(grants []keeper.Grant) []keeper.Grant {
	return l.lists[0].WithPositions(grants)
}

// resolve returns the observations that an instance gives by their places in the list
// of a version. It returns none if that list is not known, and leaves out places that
// the list does not have.
func (l grantLists) resolve(version uint64, indexed []IndexedObservation) []keeper.Observation {
	for _, list := range l.lists {
		if list.Version() != version {
			continue
		}
		var observations []keeper.Observation
		for _, o := range indexed {
			if o.Place < 0 || o.Place >= len(list.Grants()) {
				continue
			}
			g := list.Grants()[o.Place]
			observations = append(observations, keeper.Observation{
				Group:          g.Group,
				Primary:        g.Primary,
				AnsweredAt:     o.AnsweredAt,
				FirstFailureAt: o.FirstFailureAt,
			})
		}
		return observations
	}
	return nil
}
