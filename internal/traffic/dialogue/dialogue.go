// Package dialogue models a caller's session as an immutable value: transaction
// state, session settings and prepared statements. It is independent of the
// wire protocol.
package dialogue

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"rosemarylb"

	"github.com/cespare/xxhash/v2"
)

// PreparedStatement is a statement that the caller prepared under a name.
type PreparedStatement struct {
	// ServerName is the name of the statement on connections to endpoints.
	ServerName string
	// Text is the text of the statement.
	Text string
	// Writes is true when the statement writes.
	Writes bool
}

// Dialogue is the state of one caller's session.
type Dialogue struct {
	id                 rosemarylb.SessionID
	database           string
	settings           map[string]string
	settingsKey        string
	preparedStatements map[string]PreparedStatement
	transactionState   rosemarylb.TransactionState
	readOnly           bool
	transactionStarted bool
	writeRequested     bool
	answeredStatements int
	minPosition        rosemarylb.Position
}

// NewDialogue returns the session of a caller that has just connected to a
// database.
func NewDialogue(id rosemarylb.SessionID, database string) Dialogue {
	return Dialogue{
		id:       id,
		database: database,
	}
}

// ID returns the session ID.
func (d Dialogue) ID() rosemarylb.SessionID {
	return d.id
}

// Database returns the database name that the caller connected to.
func (d Dialogue) Database() string {
	return d.database
}

// State returns the transaction state.
func (d Dialogue) State() rosemarylb.TransactionState {
	return d.transactionState
}

// ReadOnly reports whether the open transaction was begun as read-only.
func (d Dialogue) ReadOnly() bool {
	return d.readOnly
}

// Begun reports whether the open transaction has been started on an endpoint.
func (d Dialogue) Begun() bool {
	return d.transactionStarted
}

// NoStatementAnswered reports whether the caller has received no reply to a
// statement of the open transaction. Such a transaction can be restarted on
// another endpoint.
func (d Dialogue) NoStatementAnswered() bool {
	return d.answeredStatements == 0
}

// Floor returns the minimum log position that the session's reads have to
// see: that of its last commit, or zero without one.
func (d Dialogue) Floor() rosemarylb.Position {
	return d.minPosition
}

// Values returns the session settings by name. The caller must not modify the
// map.
func (d Dialogue) Values() map[string]string {
	return d.settings
}

// Key returns a canonical encoding of the session settings: sessions with equal
// keys have equal settings.
func (d Dialogue) Key() string {
	return d.settingsKey
}

// WithFloor returns the session with its minimum read position raised to the
// position of its own commit. A lower position changes nothing.
func (d Dialogue) WithFloor(p rosemarylb.Position) Dialogue {
	if d.minPosition.Less(p) {
		d.minPosition = p
	}
	return d
}

// WithBegun returns the session after its transaction was started on an
// endpoint.
func (d Dialogue) WithBegun() Dialogue {
	d.transactionStarted = true
	return d
}

// Wrote reports whether the open transaction contains a write.
func (d Dialogue) Wrote() bool {
	return d.writeRequested
}

// WithWrite returns the session with a write in its open transaction.
func (d Dialogue) WithWrite() Dialogue {
	d.writeRequested = true
	return d
}

// WithAnswered returns the session after its caller received the reply to one
// more statement of the transaction.
func (d Dialogue) WithAnswered() Dialogue {
	d.answeredStatements++
	return d
}

// WithState returns the session in another transaction state. A failed
// transaction no longer counts as started; TransactionNone also clears the
// read-only, write and reply records of the previous transaction.
func (d Dialogue) WithState(s rosemarylb.TransactionState) Dialogue {
	d.transactionState = s
	if s != rosemarylb.TransactionOpen {
		d.transactionStarted = false
	}
	if s == rosemarylb.TransactionNone {
		d.readOnly = false
		d.writeRequested = false
		d.answeredStatements = 0
	}
	return d
}

func (d Dialogue) withSetting(name, value string) Dialogue {
	d.settings = maps.Clone(d.settings)
	if d.settings == nil {
		d.settings = map[string]string{}
	}
	d.settings[name] = value
	d.settingsKey = Key(d.settings)
	return d
}

func (d Dialogue) withPreparedStatement(name string, statement PreparedStatement) Dialogue {
	d.preparedStatements = maps.Clone(d.preparedStatements)
	if d.preparedStatements == nil {
		d.preparedStatements = map[string]PreparedStatement{}
	}
	d.preparedStatements[name] = statement
	return d
}

func (d Dialogue) withoutPreparedStatement(name string) Dialogue {
	d.preparedStatements = maps.Clone(d.preparedStatements)
	delete(d.preparedStatements, name)
	return d
}

// Key returns a canonical encoding of settings, sorted by name.
func Key(settings map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		b.WriteString(strconv.Quote(name))
		b.WriteByte('=')
		b.WriteString(strconv.Quote(settings[name]))
		b.WriteByte(' ')
	}
	return b.String()
}

// ServerName returns the name of a prepared statement on connections to
// endpoints. It depends only on the text and on whether the statement writes,
// so sessions that prepare the same statement share it.
func ServerName(text string, writes bool) string {
	kind := "r"
	if writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(text), 16)
}
