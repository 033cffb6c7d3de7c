// Package keeper controls the failover of groups whose endpoints are promoted
// through a rosemarylb.Promoter. Each instance has a Keeper, but only the one that
// holds the lease on the record in the store acts. It decides when a primary is
// replaced and by which endpoint, and grants instances permits to use a primary for
// a limited time. It needs conditional writes of the store, and does not rely on
// fencing at the endpoints.
package keeper

import (
	"encoding/json"
	"maps"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// Record is the lease and the primaries of all groups, as stored.
type Record struct {
	// Holder is the instance that holds the lease, empty after its release.
	Holder rosemarylb.InstanceID `json:"holder"`
	// Process identifies the holder's process, so that a restarted instance knows
	// that the process which took the lease has ended.
	Process uint64 `json:"process"`
	// Address is the address at which other instances reach the holder.
	Address string `json:"address"`
	// Token increases with each change of the holder.
	Token uint64 `json:"token"`
	// Sequence increases with each write.
	Sequence uint64 `json:"beat"`
	// Unsettled is true while a holder before this one may still act: the present holder
	// did not take a released lease, and has not waited for takeoverDelay yet.
	Unsettled bool `json:"unsettled,omitempty"`
	// Members is the number of instances that report to the holder.
	Members int `json:"members"`
	// Witnesses are instances and their addresses. The holder acts only while
	// enough of them report to it, and enough of them can depose it before its
	// lease expires.
	Witnesses map[rosemarylb.InstanceID]string `json:"witnesses,omitempty"`
	// WitnessProcesses identify the processes of the witnesses. One that has started since
	// knows no promise of its predecessor, and does not count.
	WitnessProcesses map[rosemarylb.InstanceID]uint32 `json:"witness-processes,omitempty"`
	// Groups are the primaries of the groups.
	Groups map[rosemarylb.DatabaseName]Leadership `json:"groups"`
}

// Leadership is the primary of one group.
type Leadership struct {
	// Primary is the primary, empty if none is known.
	Primary rosemarylb.EndpointID `json:"primary"`
	// Term is the primary's term.
	Term rosemarylb.Term `json:"term"`
	// FailingOver is true during a failover. Another endpoint may be promoted then, so
	// the record gives no permit to use the primary.
	FailingOver bool `json:"moving"`
	// Orders is the largest number of terms that the promotions ordered during the failover
	// may start, 0 if that is not known. An order that raises it is sent once it is stored.
	Orders rosemarylb.Term `json:"orders,omitempty"`
	// Start is how much of the log of a group with synchronous replicas the primary had
	// at the start of its term, or some time later. It is 0 if that is not known.
	Start rosemarylb.LSN `json:"start,omitempty"`
	// Replicas are the endpoints whose logs may hold commits that the primary of a group
	// with synchronous replicas has acknowledged, separated by blanks. It is empty for
	// other groups.
	Replicas string `json:"replicas,omitempty"`
}

// ParseRecord decodes a stored record. It returns an error if value is not valid
// JSON of a record.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode the keeper's record")
	}
	return r, nil
}

// Encode returns the record in its stored form.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	rosemarylb.Invariantf(err == nil, "encode the keeper's record: %v", err)
	return value
}

// WithLeadership sets the primary of a group.
func (r Record) WithLeadership(name rosemarylb.DatabaseName, l Leadership) Record {
	r.Groups = withEntry(r.Groups, name, l)
	return r
}

// withEntry returns a copy of a map in which the key has the value. The map may be
// nil.
func withEntry[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	next := make(map[K]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

// WithUnsettled sets whether a holder before the present one may still act.
func (r Record) WithUnsettled(unsettled bool) Record {
	r.Unsettled = unsettled
	return r
}

// WithMembers sets the number of instances.
func (r Record) WithMembers(n int) Record {
	r.Members = n
	return r
}

// WithWitnesses sets the witnesses with their addresses, and their processes.
func (r Record) WithWitnesses(
	witnesses map[rosemarylb.InstanceID]string, processes map[rosemarylb.InstanceID]uint32,
) Record {
	r.Witnesses = witnesses
	r.WitnessProcesses = processes
	return r
}

// hasWitnessesOf reports whether the record names the same witnesses as another one, and
// the same processes of them.
func (r Record) hasWitnessesOf(other Record) bool {
	return maps.Equal(r.Witnesses, other.Witnesses) && maps.Equal(r.WitnessProcesses, other.WitnessProcesses)
}

// WithHolder sets the process that holds the lease, with a token that is above that of
// the record and above all tokens issued before in the era. replaced is the version of
// the stored record that the new one replaces.
func (r Record) WithHolder(
	id rosemarylb.InstanceID, process uint64, address string, replaced rosemarylb.Version,
) Record {
	r.Holder = id
	r.Process = process
	r.Address = address
	r.Token = nextToken(r.Token, replaced)
	return r
}

// WithGroups sets the primaries of all groups.
func (r Record) WithGroups(groups map[rosemarylb.DatabaseName]Leadership) Record {
	r.Groups = groups
	return r
}

// WithoutHolder returns the record with the lease released.
func (r Record) WithoutHolder() Record {
	r.Holder = ""
	r.Process = 0
	r.Address = ""
	return r
}

// WithNextSequence returns the record with the sequence number of the next write.
func (r Record) WithNextSequence() Record {
	r.Sequence++
	return r
}
