package caller

import (
	"strings"
)

// parseCommand recognizes the statements that the proxy answers itself, and those
// that it rejects because they would leave state on a connection that sessions
// share. All others are forwarded.
func parseCommand(text string) command {
	trimmed := strings.Trim(text, "; \t\r\n")
	if trimmed == "" {
		return command{
			kind: kindEmpty,
		}
	}
	if parts := showPattern.FindStringSubmatch(text); parts != nil {
		return command{
			kind: kindShow,
			name: strings.ToLower(parts[1]),
		}
	}
	if !sessionStatePattern.MatchString(text) {
		return command{
			kind: kindForward,
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
			kind: kindForward,
		}
	}
	parts := setPattern.FindStringSubmatch(text)
	if parts != nil && (strings.HasPrefix(strings.ToLower(parts[1]), "rosemarylb.") || ignoredSettingPattern.MatchString(parts[1])) {
		return command{
			kind:  kindSet,
			name:  strings.ToLower(parts[1]),
			value: parts[2],
		}
	}
	return command{
		kind:     kindReject,
		sqlState: sqlStateFeatureNotSupported,
		reason:   "this statement keeps state on a connection, which sessions share",
	}
}
