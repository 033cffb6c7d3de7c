package endpoint

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

var (
	parameterPattern = regexp.MustCompile(`\$(\d+)`)
	returningPattern = regexp.MustCompile(`(?is)(?:INTO|UPDATE|FROM)\s+(\w+).*RETURNING\s+(.+)$`)
)

// parameterCount returns the highest number of a $n placeholder in a query, or
// 0 if it has none.
func parameterCount(query string) int {
	highest := 0
	for _, match := range parameterPattern.FindAllStringSubmatch(query, -1) {
		n, _ := strconv.Atoi(match[1])
		highest = max(highest, n)
	}
	return highest
}

// returningColumnsQuery returns a query that selects the columns of a RETURNING
// clause and has no effect on the data.
func returningColumnsQuery(query string) string {
	match := returningPattern.FindStringSubmatch(query)
	if match == nil {
		return query
	}
	return fmt.Sprintf("SELECT %s FROM %s LIMIT 0", match[2], match[1])
}

// columnFormat returns the format code of a column as the Bind message defines
// it: no codes mean text, and a single code applies to all columns.
func columnFormat(formats []int16, column int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	default:
		return formats[column]
	}
}

// sendRowDescription sends the columns of a result. It sends nothing for a
// statement without rows.
func (c *connection) sendRowDescription(columns []column, formats []int16) {
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
			Format:       columnFormat(formats, i),
		})
	}
	c.backend.Send(&pgproto3.RowDescription{
		Fields: fields,
	})
}

// sendResult sends the rows of a result and its command tag.
func (c *connection) sendResult(r result, formats []int16) {
	for _, row := range r.rows {
		values := make([][]byte, 0, len(row))
		for i, value := range row {
			values = append(values, c.encodeValue(r.columns[i].oid, columnFormat(formats, i), value))
		}
		c.backend.Send(&pgproto3.DataRow{
			Values: values,
		})
	}
	c.backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(r.commandTag),
	})
}

// encodeValue encodes a value in the wire format of its type. It sends the
// text form of a value that the type cannot encode, since SQLite columns hold
// values of any type.
func (c *connection) encodeValue(oid uint32, format int16, value any) []byte {
	if value == nil {
		return nil
	}
	if oid == pgtype.TextOID {
		return fmt.Append(nil, value)
	}
	encoded, err := c.typeMap.Encode(oid, format, value, nil)
	if err != nil {
		return fmt.Append(nil, value)
	}
	return encoded
}
