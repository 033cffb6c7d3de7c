package endpoint

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (c *connection) bind(m *pgproto3.Bind) {
	p, found := c.prepared[m.PreparedStatement]
	if !found {
		c.fail(sqlError{
			state:   stateNoStatement,
			message: fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement),
		})
		return
	}
	c.portals[m.DestinationPortal] = portal{
		query:   p.query,
		args:    arguments(m),
		formats: append([]int16(nil), m.ResultFormatCodes...),
	}
	c.backend.Send(&pgproto3.BindComplete{})
}

func arguments(m *pgproto3.Bind) []any {
	args := make([]any, 0, len(m.Parameters))
	for _, value := range m.Parameters {
		if value == nil {
			args = append(args, nil)
			continue
		}
		args = append(args, string(value))
	}
	return args
}

func (c *connection) describe(m *pgproto3.Describe) {
	if m.ObjectType == 'P' {
		p := c.portals[m.Name]
		c.describeQuery(p.query, p.formats)
		return
	}
	p, found := c.prepared[m.Name]
	if !found {
		c.fail(sqlError{
			state:   stateNoStatement,
			message: fmt.Sprintf("prepared statement %q does not exist", m.Name),
		})
		return
	}
	types := make([]uint32, parameterCount(p.query))
	copy(types, p.types)
	c.backend.Send(&pgproto3.ParameterDescription{
		ParameterOIDs: types,
	})
	c.describeQuery(p.query, nil)
}

func (c *connection) describeQuery(query string, formats []int16) {
	if !returnsRows(query) {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	columns, err := c.columns(query)
	if err != nil {
		c.fail(err)
		return
	}
	c.sendDescription(columns, formats)
}

// columns returns the columns of a query without running it for effect.
func (c *connection) columns(query string) ([]column, error) {
	if r, is := c.describeControl(query); is {
		return r.columns, nil
	}
	if !isRead(query) {
		query = returningProbe(query)
	}
	if err := c.open(); err != nil {
		return nil, err
	}
	empty := make([]any, parameterCount(query))
	rows, err := c.sql.QueryContext(context.Background(), query, empty...)
	if err != nil {
		return nil, asSQLError(err)
	}
	defer func() {
		_ = rows.Close()
	}()
	return columnsOf(rows)
}

func (c *connection) describeControl(query string) (result, bool) {
	if controlCall.MatchString(query) {
		return statusResult(status{}), true
	}
	return result{}, false
}

func (c *connection) executePortal(name string) {
	p := c.portals[name]
	r, err := c.execute(p.query, p.args)
	if err != nil {
		c.skipping = true
		c.fail(err)
		return
	}
	c.sendRows(r, p.formats)
}
