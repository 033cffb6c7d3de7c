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

// engine is one copy of the data.
type engine struct {
	db *sql.DB
}

func newEngine() (*engine, error) {
	name := fmt.Sprintf("file:/endpoint-%d?vfs=memdb&_pragma=busy_timeout(10000)", engineCount.Add(1))
	db, err := sql.Open("sqlite", name)
	if err != nil {
		return nil, errors.Wrap(err, "open the engine")
	}
	db.SetMaxOpenConns(0)
	// One idle connection keeps the data while no caller is connected.
	db.SetConnMaxLifetime(0)
	db.SetMaxIdleConns(2)
	if err := db.Ping(); err != nil {
		return nil, errors.Wrap(err, "open the engine")
	}
	return &engine{
		db: db,
	}, nil
}

// apply runs the changes of one entry in a transaction.
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

// result is the whole answer to one statement.
type result struct {
	columns []column
	rows    [][]any
	tag     string
}

// execer is a connection of the engine.
type execer interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

// run executes one statement and reads its whole result.
func run(ctx context.Context, c execer, query string, args []any) (result, error) {
	verb := keyword(query)
	if !returnsRows(query) {
		done, err := c.ExecContext(ctx, query, args...)
		if err != nil {
			return result{}, err
		}
		count, _ := done.RowsAffected()
		return result{
			tag: tagFor(verb, count),
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
	r.columns, err = columnsOf(rows)
	if err != nil {
		return result{}, err
	}
	for rows.Next() {
		values := make([]any, len(r.columns))
		places := make([]any, len(r.columns))
		for i := range values {
			places[i] = &values[i]
		}
		if err := rows.Scan(places...); err != nil {
			return result{}, err
		}
		r.rows = append(r.rows, values)
	}
	r.tag = tagFor(verb, int64(len(r.rows)))
	return r, rows.Err()
}

func columnsOf(rows *sql.Rows) ([]column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	columns := make([]column, 0, len(types))
	for _, t := range types {
		columns = append(columns, column{
			name: t.Name(),
			oid:  oidFor(t.DatabaseTypeName(), t.Name()),
		})
	}
	return columns, nil
}

func oidFor(declared, name string) uint32 {
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

// keyword returns the first word of a statement in upper case.
func keyword(query string) string {
	query = strings.TrimLeft(query, " \t\r\n(")
	end := strings.IndexFunc(query, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(query)
	}
	return strings.ToUpper(query[:end])
}

func returnsRows(query string) bool {
	switch keyword(query) {
	case "SELECT", "VALUES", "WITH", "EXPLAIN", "PRAGMA":
		return true
	default:
		return strings.Contains(strings.ToUpper(query), "RETURNING")
	}
}

func isRead(query string) bool {
	switch keyword(query) {
	case "SELECT", "VALUES", "EXPLAIN":
		return true
	default:
		return false
	}
}

func tagFor(verb string, count int64) string {
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

// split separates the statements of a query text.
func split(text string) []string {
	var parts []string
	start, quoted := 0, false
	for i, r := range text {
		switch {
		case r == '\'':
			quoted = !quoted
		case r == ';' && !quoted:
			parts = appendPart(parts, text[start:i])
			start = i + 1
		}
	}
	return appendPart(parts, text[start:])
}

func appendPart(parts []string, part string) []string {
	if strings.TrimSpace(part) == "" {
		return parts
	}
	return append(parts, part)
}
