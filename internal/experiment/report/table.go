// Package report prints the results of experiments as tables.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Table prints rows in aligned columns.
type Table struct {
	writer *tabwriter.Writer
}

// NewTable returns a table with the given column headings.
func NewTable(out io.Writer, headings ...string) *Table {
	t := &Table{
		writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0),
	}
	t.writeLine(headings)
	return t
}

// AddRow adds a row. Floating-point values are printed with two decimals.
func (t *Table) AddRow(values ...any) {
	cells := make([]string, 0, len(values))
	for _, v := range values {
		cells = append(cells, formatCell(v))
	}
	t.writeLine(cells)
}

// Print prints the rows added so far and ignores write errors.
func (t *Table) Print() {
	_ = t.writer.Flush()
}

func formatCell(v any) string {
	if f, ok := v.(float64); ok {
		return fmt.Sprintf("%.2f", f)
	}
	return fmt.Sprint(v)
}

func (t *Table) writeLine(cells []string) {
	_, _ = fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

// Flush prints the rows added so far and returns a write error.
func (t *Table) Flush() error {
	return errors.Wrap(t.writer.Flush(), "print the table")
}
