package endpoint

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleBind creates a portal from a prepared statement.
func (c *connection) handleBind(m *pgproto3.Bind) {
	p, found := c.preparedStatements[m.PreparedStatement]
	if !found {
		c.sendError(sqlError{
			sqlState: sqlStateInvalidStatementName,
			message:  fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement),
		})
		return
	}
	c.portals[m.DestinationPortal] = portal{
		query:         p.query,
		arguments:     bindArguments(m),
		resultFormats: append([]int16(nil), m.ResultFormatCodes...),
	}
	c.backend.Send(&pgproto3.BindComplete{})
}

// bindArguments returns the parameters of a Bind message as text, nil for NULL.
func bindArguments(m *pgproto3.Bind) []any {
	arguments := make([]any, 0, len(m.Parameters))
	for _, value := range m.Parameters {
		if value == nil {
			arguments = append(arguments, nil)
			continue
		}
		arguments = append(arguments, string(value))
	}
	return arguments
}

// handleDescribe describes a portal or a prepared statement.
func (c *connection) handleDescribe(m *pgproto3.Describe) {
	if m.ObjectType == 'P' {
		p := c.portals[m.Name]
		c.sendQueryDescription(p.query, p.resultFormats)
		return
	}
	p, found := c.preparedStatements[m.Name]
	if !found {
		c.sendError(sqlError{
			sqlState: sqlStateInvalidStatementName,
			message:  fmt.Sprintf("prepared statement %q does not exist", m.Name),
		})
		return
	}
	types := make([]uint32, parameterCount(p.query))
	copy(types, p.parameterOIDs)
	c.backend.Send(&pgproto3.ParameterDescription{
		ParameterOIDs: types,
	})
	c.sendQueryDescription(p.query, nil)
}

// sendQueryDescription sends the columns of a query, or NoData for a statement
// that returns no rows.
func (c *connection) sendQueryDescription(query string, formats []int16) {
	if !returnsRows(query) {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	columns, err := c.queryColumns(query)
	if err != nil {
		c.sendError(err)
		return
	}
	c.sendRowDescription(columns, formats)
}

// queryColumns returns the columns of a query without changing any data. A
// statement with a RETURNING clause is described by an equivalent SELECT.
func (c *connection) queryColumns(query string) ([]column, error) {
	if r, ok := c.describeControlFunction(query); ok {
		return r.columns, nil
	}
	if !isReadOnly(query) {
		query = returningColumnsQuery(query)
	}
	if err := c.openEngineConn(); err != nil {
		return nil, err
	}
	nulls := make([]any, parameterCount(query))
	rows, err := c.engineConn.QueryContext(context.Background(), query, nulls...)
	if err != nil {
		return nil, asSQLError(err)
	}
	defer func() {
		_ = rows.Close()
	}()
	return resultColumns(rows)
}

// describeControlFunction returns the columns of a control function. It returns
// false for any other query.
func (c *connection) describeControlFunction(query string) (result, bool) {
	if controlFunctionPattern.MatchString(query) {
		return statusResult(controlStatus{}), true
	}
	return result{}, false
}

// handleExecute runs a portal.
func (c *connection) handleExecute(name string) {
	p := c.portals[name]
	r, err := c.executeStatement(p.query, p.arguments)
	if err != nil {
		c.skipsUntilSync = true
		c.sendError(err)
		return
	}
	c.sendResult(r, p.resultFormats)
}
