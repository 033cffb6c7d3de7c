// Package dialogue keeps a caller's session as a value: its transaction, its
// values and its prepared names, apart from the protocol that carries it.
package dialogue

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"rosemarylb"

	"github.com/cespare/xxhash/v2"
)

// Prepared is what a prepared name stands for.
type Prepared struct {
	// Alias is the name that connections to endpoints use for it.
	Alias string
	// Shape is its text.
	Shape string
	// Writes is true when running it writes.
	Writes bool
}

// Dialogue is one caller's session.
type Dialogue struct {
	id       rosemarylb.SessionID
	database string
	values   map[string]string
	key      string
	prepared map[string]Prepared
	state    rosemarylb.TransactionState
	readOnly bool
	begun    bool
	wrote    bool
	answered int
	floor    rosemarylb.Position
}

// NewDialogue returns the session of a caller that connected to a database.
func NewDialogue(id rosemarylb.SessionID, database string) Dialogue {
	return Dialogue{
		id:       id,
		database: database,
	}
}

// ID returns the session's number.
func (d Dialogue) ID() rosemarylb.SessionID {
	return d.id
}

// Database returns the name that the caller connected to.
func (d Dialogue) Database() string {
	return d.database
}

// State returns the transaction state.
func (d Dialogue) State() rosemarylb.TransactionState {
	return d.state
}

// ReadOnly reports whether the open transaction only reads.
func (d Dialogue) ReadOnly() bool {
	return d.readOnly
}

// Begun reports whether the open transaction has reached an endpoint.
func (d Dialogue) Begun() bool {
	return d.begun
}

// Untouched reports whether no statement of the open transaction was answered
// yet, so that it may begin anew elsewhere.
func (d Dialogue) Untouched() bool {
	return d.answered == 0
}

// Floor returns the position of the session's last commit, zero without one.
func (d Dialogue) Floor() rosemarylb.Position {
	return d.floor
}

// Values returns the session values, not to be changed.
func (d Dialogue) Values() map[string]string {
	return d.values
}

// Key identifies the session values: equal keys have equal values.
func (d Dialogue) Key() string {
	return d.key
}

// WithFloor returns the session that has to see a commit of its own.
func (d Dialogue) WithFloor(p rosemarylb.Position) Dialogue {
	if d.floor.Less(p) {
		d.floor = p
	}
	return d
}

// WithBegun returns the session whose transaction runs at an endpoint.
func (d Dialogue) WithBegun() Dialogue {
	d.begun = true
	return d
}

// Wrote reports whether the open transaction was asked to write.
func (d Dialogue) Wrote() bool {
	return d.wrote
}

// WithWrite returns the session whose transaction was asked to write.
func (d Dialogue) WithWrite() Dialogue {
	d.wrote = true
	return d
}

// WithAnswered returns the session that was told the answer to one more
// statement of its transaction.
func (d Dialogue) WithAnswered() Dialogue {
	d.answered++
	return d
}

// WithState returns the session in another transaction state.
func (d Dialogue) WithState(s rosemarylb.TransactionState) Dialogue {
	d.state = s
	if s != rosemarylb.TransactionOpen {
		d.begun = false
	}
	if s == rosemarylb.TransactionNone {
		d.readOnly = false
		d.wrote = false
		d.answered = 0
	}
	return d
}

func (d Dialogue) withValue(name, value string) Dialogue {
	d.values = maps.Clone(d.values)
	if d.values == nil {
		d.values = map[string]string{}
	}
	d.values[name] = value
	d.key = Key(d.values)
	return d
}

func (d Dialogue) withPrepared(name string, p Prepared) Dialogue {
	d.prepared = maps.Clone(d.prepared)
	if d.prepared == nil {
		d.prepared = map[string]Prepared{}
	}
	d.prepared[name] = p
	return d
}

func (d Dialogue) withoutPrepared(name string) Dialogue {
	d.prepared = maps.Clone(d.prepared)
	delete(d.prepared, name)
	return d
}

// Key returns the identity of a set of values.
func Key(values map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		b.WriteString(strconv.Quote(name))
		b.WriteByte('=')
		b.WriteString(strconv.Quote(values[name]))
		b.WriteByte(' ')
	}
	return b.String()
}

// Alias returns the name under which connections know a prepared statement:
// the same for the same kind and shape.
func Alias(shape string, writes bool) string {
	kind := "r"
	if writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(shape), 16)
}
