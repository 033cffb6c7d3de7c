// Package keeper decides, for the groups whose primaries somebody else
// promotes, who may promote, when and whom, and who may use a primary until
// when. It needs a store with conditional writes and no fence.
package keeper

import (
	"encoding/json"
	"maps"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// Record is what the store keeps of the keeper and of the primaries.
type Record struct {
	// Holder is the instance that keeps, empty when it gave the lease back.
	Holder rosemarylb.InstanceID `json:"holder"`
	// Process numbers the holder's process, so that a restarted one knows
	// that its predecessor is dead.
	Process uint64 `json:"process"`
	// Address is where the holder answers other instances.
	Address string `json:"address"`
	// Token rises with each change of the holder.
	Token uint64 `json:"token"`
	// Beat rises with each write.
	Beat uint64 `json:"beat"`
	// Members is how many instances asked the holder for permits.
	Members int `json:"members"`
	// Witnesses are instances with their addresses: the holder acts only while
	// enough of them ask it, and enough others may end its reign early.
	Witnesses map[rosemarylb.InstanceID]string `json:"witnesses,omitempty"`
	// Groups are the primaries by group.
	Groups map[rosemarylb.DatabaseName]Leadership `json:"groups"`
}

// Leadership is the primary of one group.
type Leadership struct {
	// Primary is the primary.
	Primary rosemarylb.EndpointID `json:"primary"`
	// Term is its term.
	Term rosemarylb.Term `json:"term"`
	// Moving is true while another one may be promoted: nobody may use the
	// primary on the word of such a record.
	Moving bool `json:"moving"`
}

// ParseRecord reads a record.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "keeper's record")
	}
	return r, nil
}

// Encode returns the record as the store keeps it.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	rosemarylb.Invariantf(err == nil, "a record does not encode: %v", err)
	return value
}

// WithLeadership returns the record with another primary of a group.
func (r Record) WithLeadership(name rosemarylb.DatabaseName, l Leadership) Record {
	r.Groups = maps.Clone(r.Groups)
	if r.Groups == nil {
		r.Groups = map[rosemarylb.DatabaseName]Leadership{}
	}
	r.Groups[name] = l
	return r
}

// WithMembers returns the record with another number of instances.
func (r Record) WithMembers(n int) Record {
	r.Members = n
	return r
}

// WithWitnesses returns the record with other witnesses.
func (r Record) WithWitnesses(w map[rosemarylb.InstanceID]string) Record {
	r.Witnesses = w
	return r
}

// WithHolder returns the record taken by another process.
func (r Record) WithHolder(id rosemarylb.InstanceID, process uint64, address string) Record {
	r.Holder = id
	r.Process = process
	r.Address = address
	r.Token++
	return r
}

// WithoutHolder returns the record that its holder gave back.
func (r Record) WithoutHolder() Record {
	r.Holder = ""
	r.Process = 0
	r.Address = ""
	return r
}

// WithBeat returns the record with one more write.
func (r Record) WithBeat() Record {
	r.Beat++
	return r
}
