package endpoint

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

var (
	parameter = regexp.MustCompile(`\$(\d+)`)
	returning = regexp.MustCompile(`(?is)(?:INTO|UPDATE|FROM)\s+(\w+).*RETURNING\s+(.+)$`)
)

// parameterCount returns the highest parameter number in a query.
func parameterCount(query string) int {
	highest := 0
	for _, match := range parameter.FindAllStringSubmatch(query, -1) {
		n, _ := strconv.Atoi(match[1])
		highest = max(highest, n)
	}
	return highest
}

// returningProbe turns a RETURNING clause into a query without effect.
func returningProbe(query string) string {
	match := returning.FindStringSubmatch(query)
	if match == nil {
		return query
	}
	return fmt.Sprintf("SELECT %s FROM %s LIMIT 0", match[2], match[1])
}

func formatFor(formats []int16, column int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	default:
		return formats[column]
	}
}

func (c *connection) sendDescription(columns []column, formats []int16) {
	if columns == nil {
		return
	}
	fields := make([]pgproto3.FieldDescription, 0, len(columns))
	for i, col := range columns {
		fields = append(fields, pgproto3.FieldDescription{
			Name:         []byte(col.name),
			DataTypeOID:  col.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatFor(formats, i),
		})
	}
	c.backend.Send(&pgproto3.RowDescription{
		Fields: fields,
	})
}

func (c *connection) sendRows(r result, formats []int16) {
	for _, row := range r.rows {
		values := make([][]byte, 0, len(row))
		for i, value := range row {
			values = append(values, c.encode(r.columns[i].oid, formatFor(formats, i), value))
		}
		c.backend.Send(&pgproto3.DataRow{
			Values: values,
		})
	}
	c.backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(r.tag),
	})
}

func (c *connection) encode(oid uint32, format int16, value any) []byte {
	if value == nil {
		return nil
	}
	if oid == pgtype.TextOID {
		return fmt.Append(nil, value)
	}
	encoded, err := c.types.Encode(oid, format, value, nil)
	if err != nil {
		return fmt.Append(nil, value)
	}
	return encoded
}
