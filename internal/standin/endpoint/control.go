package endpoint

import (
	"regexp"
	"strconv"

	"rosemarylb"

	"github.com/jackc/pgx/v5/pgtype"
)

// controlCall matches the functions that the proxy needs of an endpoint.
var controlCall = regexp.MustCompile(
	`^\s*SELECT rosemarylb_(status|fence|promote|follow|evict|log)\(\s*(\d*)\s*,?\s*'?([^')]*)'?\s*\)\s*;?\s*$`)

// control answers a control function, false when the query is none.
func (s *Server) control(query string) (result, bool) {
	parts := controlCall.FindStringSubmatch(query)
	if parts == nil {
		return result{}, false
	}
	number, _ := strconv.ParseUint(parts[2], 10, 64)
	term := rosemarylb.Term(number)
	switch parts[1] {
	case "fence":
		answer := s.history.fence(term, parts[3])
		return statusResult(answer), true
	case "promote":
		return statusResult(s.promote(term, parts[3])), true
	case "follow":
		return statusResult(s.follow(term, parts[3])), true
	case "evict":
		s.evict(parts[3])
		s.history.mu.Lock()
		defer s.history.mu.Unlock()
		return statusResult(s.history.status(true)), true
	case "log":
		last, _ := strconv.ParseUint(parts[3], 10, 64)
		return textResult("log", s.logFrom(rosemarylb.LSN(number), rosemarylb.Term(last))), true
	default:
		s.history.mu.Lock()
		defer s.history.mu.Unlock()
		return statusResult(s.history.status(true)), true
	}
}

func textResult(name, value string) result {
	return result{
		columns: []column{{
			name: name,
			oid:  pgtype.TextOID,
		}},
		rows: [][]any{{value}},
		tag:  "SELECT 1",
	}
}

func statusResult(s status) result {
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
			strconv.FormatBool(s.primary),
			strconv.FormatUint(uint64(s.term), 10),
			s.log.String(),
			s.applied.String(),
			millis(s.age),
		}},
		tag: "SELECT 1",
	}
}
