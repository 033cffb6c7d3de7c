package endpoint

import (
	"regexp"
	"strconv"

	"rosemarylb"

	"github.com/jackc/pgx/v5/pgtype"
)

// controlFunctionPattern matches the control functions that the proxy and
// replicas call on an endpoint.
var controlFunctionPattern = regexp.MustCompile(
	`^\s*SELECT rosemarylb_(status|fence|promote|follow|evict|log)\(\s*(\d*)\s*,?\s*'?([^')]*)'?\s*\)\s*;?\s*$`)

// callControlFunction runs a query that calls a control function. It returns
// false for any other query.
func (s *Server) callControlFunction(query string) (result, bool) {
	match := controlFunctionPattern.FindStringSubmatch(query)
	if match == nil {
		return result{}, false
	}
	number, _ := strconv.ParseUint(match[2], 10, 64)
	term := rosemarylb.Term(number)
	switch match[1] {
	case "fence":
		response := s.log.fence(term, match[3])
		return statusResult(response), true
	case "promote":
		return statusResult(s.promote(term, match[3])), true
	case "follow":
		return statusResult(s.follow(term, match[3])), true
	case "evict":
		s.closeConnectionsOf(match[3])
		s.log.mu.Lock()
		defer s.log.mu.Unlock()
		return statusResult(s.log.status(true)), true
	case "log":
		last, _ := strconv.ParseUint(match[3], 10, 64)
		return textResult("log", s.encodeLogFrom(rosemarylb.LSN(number), rosemarylb.Term(last))), true
	default:
		s.log.mu.Lock()
		defer s.log.mu.Unlock()
		return statusResult(s.log.status(true)), true
	}
}

// textResult returns a result of one row with one text column.
func textResult(name, value string) result {
	return result{
		columns: []column{{
			name: name,
			oid:  pgtype.TextOID,
		}},
		rows:       [][]any{{value}},
		commandTag: "SELECT 1",
	}
}

// statusResult returns the result of a control function: one row with the state
// of the endpoint. Ages are in milliseconds, and -1 when unknown.
func statusResult(s controlStatus) result {
	names := []string{"granted", "primary", "term", "log", "applied", "age-millis"}
	columns := make([]column, 0, len(names))
	for _, name := range names {
		columns = append(columns, column{
			name: name,
			oid:  pgtype.TextOID,
		})
	}
	return result{
		columns: columns,
		rows: [][]any{{
			strconv.FormatBool(s.granted),
			strconv.FormatBool(s.isPrimary),
			strconv.FormatUint(uint64(s.term), 10),
			s.logPosition.String(),
			s.appliedPosition.String(),
			formatMillis(s.staleness),
		}},
		commandTag: "SELECT 1",
	}
}
