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
func (s Session) ID() rosemarylb.SessionID {
	return s.id
}

// Database returns the database name that the caller connected to.
func (s Session) Database() string {
	return s.database
}

// TransactionState returns the transaction state.
func (s Session) TransactionState() rosemarylb.TransactionState {
	return s.transactionState
}

// ReadOnly reports whether the open transaction was begun as read-only.
func (s Session) ReadOnly() bool {
	return s.readOnly
}

// TransactionStarted reports whether the open transaction has been started on an
// endpoint.
func (s Session) TransactionStarted() bool {
	return s.transactionStarted
}

// NoStatementAnswered reports whether the caller has received no reply to a
// statement of the open transaction. Such a transaction can be restarted on
// another endpoint.
func (s Session) NoStatementAnswered() bool {
	return s.answeredStatements == 0
}

// Floor returns the minimum log position that the session's reads have to
// see: that of its last commit, or zero without one.
func (s Session) Floor() rosemarylb.Position {
	return s.floor
}

// Settings returns the session settings by name. The caller must not modify the
// map.
func (s Session) Settings() map[string]string {
	return s.settings
}

// SettingsKey returns a canonical encoding of the session settings: sessions with equal
// keys have equal settings.
func (s Session) SettingsKey() string {
	return s.settingsKey
}

// WithFloor returns the session with its minimum read position raised to the
// position of its own commit. A lower position changes nothing.
func (s Session) WithFloor(p rosemarylb.Position) Session {
	if s.floor.Less(p) {
		s.floor = p
	}
	return s
}

// WithTransactionStarted returns the session after its transaction was started on an
// endpoint.
func (s Session) WithTransactionStarted() Session {
	s.transactionStarted = true
	return s
}

// WriteRequested reports whether the open transaction contains a write.
func (s Session) WriteRequested() bool {
	return s.writeRequested
}

// WithWriteRequested returns the session with a write in its open transaction.
func (s Session) WithWriteRequested() Session {
	s.writeRequested = true
	return s
}

// WithAnsweredStatement returns the session after its caller received the reply to one
// more statement of the transaction.
func (s Session) WithAnsweredStatement() Session {
	s.answeredStatements++
	return s
}

// WithTransactionState returns the session in another transaction state. A failed
// transaction no longer counts as started; TransactionNone also clears the
// read-only, write and reply records of the previous transaction.
func (s Session) WithTransactionState(state rosemarylb.TransactionState) Session {
	s.transactionState = state
	if state != rosemarylb.TransactionOpen {
		s.transactionStarted = false
	}
	if state == rosemarylb.TransactionNone {
		s.readOnly = false
		s.writeRequested = false
		s.answeredStatements = 0
	}
	return s
}

func (s Session) withSetting(name, value string) Session {
	s.settings = maps.Clone(s.settings)
	if s.settings == nil {
		s.settings = map[string]string{}
	}
	s.settings[name] = value
	s.settingsKey = SettingsKey(s.settings)
	return s
}

func (s Session) withPreparedStatement(name string, statement PreparedStatement) Session {
	s.preparedStatements = maps.Clone(s.preparedStatements)
	if s.preparedStatements == nil {
		s.preparedStatements = map[string]PreparedStatement{}
	}
	s.preparedStatements[name] = statement
	return s
}

func (s Session) withoutPreparedStatement(name string) Session {
	s.preparedStatements = maps.Clone(s.preparedStatements)
	delete(s.preparedStatements, name)
	return s
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
