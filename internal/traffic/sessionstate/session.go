// Package sessionstate models a session of package proxy as an immutable value:
// transaction state, session settings and prepared statements. It is independent of
// the wire protocol. Package session is its counterpart for the PostgreSQL sessions
// of package caller.
package sessionstate

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

// Session is the state of one caller's session.
type Session struct {
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
	floor              rosemarylb.Position
}

// NewSession returns the session of a caller that has just connected to a
// database.
func NewSession(id rosemarylb.SessionID, database string) Session {
	return Session{
		id:       id,
		database: database,
	}
}

// ID returns the session ID.
func (d Session) ID() rosemarylb.SessionID {
	return d.id
}

// Database returns the database name that the caller connected to.
func (d Session) Database() string {
	return d.database
}

// TransactionState returns the transaction state.
func (d Session) TransactionState() rosemarylb.TransactionState {
	return d.transactionState
}

// ReadOnly reports whether the open transaction was begun as read-only.
func (d Session) ReadOnly() bool {
	return d.readOnly
}

// TransactionStarted reports whether the open transaction has been started on an endpoint.
func (d Session) TransactionStarted() bool {
	return d.transactionStarted
}

// NoStatementAnswered reports whether the caller has received no reply to a
// statement of the open transaction. Such a transaction can be restarted on
// another endpoint.
func (d Session) NoStatementAnswered() bool {
	return d.answeredStatements == 0
}

// Floor returns the minimum log position that the session's reads have to
// see: that of its last commit, or zero without one.
func (d Session) Floor() rosemarylb.Position {
	return d.floor
}

// Settings returns the session settings by name. The caller must not modify the
// map.
func (d Session) Settings() map[string]string {
	return d.settings
}

// SettingsKey returns a canonical encoding of the session settings: sessions with equal
// keys have equal settings.
func (d Session) SettingsKey() string {
	return d.settingsKey
}

// WithFloor returns the session with its minimum read position raised to the
// position of its own commit. A lower position changes nothing.
func (d Session) WithFloor(p rosemarylb.Position) Session {
	if d.floor.Less(p) {
		d.floor = p
	}
	return d
}

// WithTransactionStarted returns the session after its transaction was started on an
// endpoint.
func (d Session) WithTransactionStarted() Session {
	d.transactionStarted = true
	return d
}

// WriteRequested reports whether the open transaction contains a write.
func (d Session) WriteRequested() bool {
	return d.writeRequested
}

// WithWriteRequested returns the session with a write in its open transaction.
func (d Session) WithWriteRequested() Session {
	d.writeRequested = true
	return d
}

// WithAnsweredStatement returns the session after its caller received the reply to one
// more statement of the transaction.
func (d Session) WithAnsweredStatement() Session {
	d.answeredStatements++
	return d
}

// WithTransactionState returns the session in another transaction state. A failed
// transaction no longer counts as started; TransactionNone also clears the
// read-only, write and reply records of the previous transaction.
func (d Session) WithTransactionState(s rosemarylb.TransactionState) Session {
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

func (d Session) withSetting(name, value string) Session {
	d.settings = maps.Clone(d.settings)
	if d.settings == nil {
		d.settings = map[string]string{}
	}
	d.settings[name] = value
	d.settingsKey = SettingsKey(d.settings)
	return d
}

func (d Session) withPreparedStatement(name string, statement PreparedStatement) Session {
	d.preparedStatements = maps.Clone(d.preparedStatements)
	if d.preparedStatements == nil {
		d.preparedStatements = map[string]PreparedStatement{}
	}
	d.preparedStatements[name] = statement
	return d
}

func (d Session) withoutPreparedStatement(name string) Session {
	d.preparedStatements = maps.Clone(d.preparedStatements)
	delete(d.preparedStatements, name)
	return d
}

// SettingsKey returns a canonical encoding of settings, sorted by name.
func SettingsKey(settings map[string]string) string {
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
