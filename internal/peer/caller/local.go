package caller

import (
	"strings"
)

// local tells which texts the proxy answers itself, or refuses since their
// effect would stay on a connection that sessions share.
func local(text string) command {
	trimmed := strings.Trim(text, "; \t\r\n")
	if trimmed == "" {
		return command{
			kind: kindEmpty,
		}
	}
	if parts := showing.FindStringSubmatch(text); parts != nil {
		return command{
			kind: kindShow,
			name: strings.ToLower(parts[1]),
		}
	}
	if !statewise.MatchString(text) {
		return command{
			kind: kindRun,
		}
	}
	upper := strings.ToUpper(trimmed)
	if upper == "DISCARD ALL" || upper == "DEALLOCATE ALL" || upper == "RESET ALL" {
		return command{
			kind: kindReset,
			name: upper,
		}
	}
	if strings.HasPrefix(upper, "SET LOCAL ") || strings.HasPrefix(upper, "SET TRANSACTION ") {
		return command{
			kind: kindRun,
		}
	}
	parts := setting.FindStringSubmatch(text)
	if parts != nil && (strings.HasPrefix(strings.ToLower(parts[1]), "rosemarylb.") || harmless.MatchString(parts[1])) {
		return command{
			kind:  kindSet,
			name:  strings.ToLower(parts[1]),
			value: parts[2],
		}
	}
	return command{
		kind:     kindRefused,
		sqlState: stateUnsupported,
		reason:   "this statement keeps state on a connection, which sessions share",
	}
}
