package endpoint

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgtype"
	_ "modernc.org/sqlite" // registers the in-memory SQL engine
)

var engineCount atomic.Uint64

// engine is an in-memory SQLite database with the endpoint's copy of the data.
type engine struct {
	db *sql.DB
}

func newEngine() (*engine, error) {
	name := fmt.Sprintf("file:/endpoint-%d?vfs=memdb&_pragma=busy_timeout(10000)", engineCount.Add(1))
	db, err := sql.Open("sqlite", name)
	if err != nil {
		return nil, errors.Wrap(err, "open the in-memory database")
	}
	db.SetMaxOpenConns(0)
	// SQLite drops an in-memory database with its last connection; idle
	// connections keep it while no client is connected.
	db.SetConnMaxLifetime(0)
	db.SetMaxIdleConns(2)
	if err := db.Ping(); err != nil {
		return nil, errors.Wrap(err, "open the in-memory database")
	}
	return &engine{
		db: db,
	}, nil
}

// apply runs the changes of one log entry in a transaction.
func (e *engine) apply(changes []change) error {
	if len(changes) == 0 {
		return nil
	}
	tx, err := e.db.Begin()
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	for _, c := range changes {
		if _, err := tx.Exec(c.Query, c.Arguments...); err != nil {
			_ = tx.Rollback()
			return errors.Wrapf(err, "apply %q", c.Query)
		}
	}
	return errors.Wrap(tx.Commit(), "apply")
}

// column describes one column of a result.
type column struct {
	name string
	oid  uint32
}

// result is the complete result of one statement.
type result struct {
	columns    []column
	rows       [][]any
	commandTag string
}

// sqlExecutor runs statements on a connection of the engine.
type sqlExecutor interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

// executeSQL runs one statement and reads its complete result.
func executeSQL(ctx context.Context, c sqlExecutor, query string, args []any) (result, error) {
	verb := firstKeyword(query)
	if !returnsRows(query) {
		outcome, err := c.ExecContext(ctx, query, args...)
		if err != nil {
			return result{}, err
		}
		count, _ := outcome.RowsAffected()
		return result{
			commandTag: commandTag(verb, count),
		}, nil
	}
	rows, err := c.QueryContext(ctx, query, args...)
	if err != nil {
		return result{}, err
	}
	defer func() {
		_ = rows.Close()
	}()
	r := result{}
	r.columns, err = resultColumns(rows)
	if err != nil {
		return result{}, err
	}
	for rows.Next() {
		values := make([]any, len(r.columns))
		destinations := make([]any, len(r.columns))
		for i := range values {
			destinations[i] = &values[i]
		}
		if err := rows.Scan(destinations...); err != nil {
			return result{}, err
		}
		r.rows = append(r.rows, values)
	}
	r.commandTag = commandTag(verb, int64(len(r.rows)))
	return r, rows.Err()
}

// resultColumns returns the columns of an open result set.
func resultColumns(rows *sql.Rows) ([]column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	columns := make([]column, 0, len(types))
	for _, t := range types {
		columns = append(columns, column{
			name: t.Name(),
			oid:  columnTypeOID(t.DatabaseTypeName(), t.Name()),
		})
	}
	return columns, nil
}

// columnTypeOID returns the PostgreSQL type of a column. An expression has no
// declared type in SQLite; aggregates and integer literals are recognized by
// the column name.
func columnTypeOID(declared, name string) uint32 {
	declared = strings.ToUpper(declared)
	name = strings.ToLower(name)
	switch {
	case strings.Contains(declared, "INT"):
		return pgtype.Int8OID
	case strings.Contains(declared, "BOOL"):
		return pgtype.BoolOID
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "DOUBLE"):
		return pgtype.Float8OID
	case strings.HasPrefix(name, "count("), strings.HasPrefix(name, "sum("), strings.HasPrefix(name, "max("):
		return pgtype.Int8OID
	case name != "" && strings.Trim(name, "0123456789") == "":
		return pgtype.Int8OID
	default:
		return pgtype.TextOID
	}
}

// firstKeyword returns the first word of a statement in upper case.
func firstKeyword(query string) string {
	query = strings.TrimLeft(query, " \t\r\n(")
	end := strings.IndexFunc(query, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(query)
	}
	return strings.ToUpper(query[:end])
}

// returnsRows reports whether a statement returns a result set.
func returnsRows(query string) bool {
	switch firstKeyword(query) {
	case "SELECT", "VALUES", "WITH", "EXPLAIN", "PRAGMA":
		return true
	default:
		return strings.Contains(strings.ToUpper(query), "RETURNING")
	}
}

// isReadOnly reports whether a statement leaves the data unchanged.
func isReadOnly(query string) bool {
	switch firstKeyword(query) {
	case "SELECT", "VALUES", "EXPLAIN":
		return true
	default:
		return false
	}
}

// commandTag returns the tag of a CommandComplete message.
func commandTag(verb string, count int64) string {
	switch verb {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", count)
	case "UPDATE", "DELETE", "SELECT":
		return fmt.Sprintf("%s %d", verb, count)
	case "VALUES", "WITH", "EXPLAIN", "PRAGMA":
		return fmt.Sprintf("SELECT %d", count)
	case "CREATE", "DROP", "ALTER":
		return verb + " TABLE"
	default:
		return verb
	}
}

// splitStatements splits a query text at the semicolons outside string
// literals and drops blank statements.
func splitStatements(text string) []string {
	var statements []string
	start, isQuoted := 0, false
	for i, r := range text {
		switch {
		case r == '\'':
			isQuoted = !isQuoted
		case r == ';' && !isQuoted:
			statements = appendNonBlank(statements, text[start:i])
			start = i + 1
		}
	}
	return appendNonBlank(statements, text[start:])
}

func appendNonBlank(statements []string, text string) []string {
	if strings.TrimSpace(text) == "" {
		return statements
	}
	return append(statements, text)
}
