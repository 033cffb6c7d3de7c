package session

import (
	"strings"

	"rosemarylb"
)

// Classify returns the class of a statement by its first words. What is not
// certain to be a read is taken for a write. open tells whether a transaction
// is open before it.
func Classify(text string, open bool) rosemarylb.Class {
	words := strings.Fields(strings.ToUpper(strip(text)))
	if open {
		return classifyWithin(text, words)
	}
	if len(words) == 0 {
		return rosemarylb.ClassRead
	}
	several := severalStatements(text)
	switch words[0] {
	case "BEGIN", "START":
		if several {
			return rosemarylb.ClassWrite
		}
		return rosemarylb.ClassBegin
	case "SELECT", "VALUES", "TABLE", "SHOW":
		if several || locks(words) {
			return rosemarylb.ClassWrite
		}
		return rosemarylb.ClassRead
	default:
		return rosemarylb.ClassWrite
	}
}

func classifyWithin(text string, words []string) rosemarylb.Class {
	if len(words) == 0 {
		return rosemarylb.ClassWithin
	}
	if severalStatements(text) {
		for _, w := range words {
			if w := strings.Trim(w, ";"); w == "COMMIT" || w == "END" {
				return rosemarylb.ClassCommit
			}
		}
		return rosemarylb.ClassWithin
	}
	switch strings.Trim(words[0], ";") {
	case "COMMIT", "END":
		return rosemarylb.ClassCommit
	case "ROLLBACK", "ABORT":
		for _, w := range words {
			if w == "TO" {
				return rosemarylb.ClassWithin
			}
		}
		return rosemarylb.ClassRollback
	default:
		return rosemarylb.ClassWithin
	}
}

// Combine returns the class of two statements sent as one request.
func Combine(a, b rosemarylb.Class, open bool) rosemarylb.Class {
	if a == b && (a == rosemarylb.ClassRead || a == rosemarylb.ClassWithin) {
		return a
	}
	if !open {
		return rosemarylb.ClassWrite
	}
	if a == rosemarylb.ClassCommit || b == rosemarylb.ClassCommit {
		return rosemarylb.ClassCommit
	}
	return rosemarylb.ClassWithin
}

// strip removes leading space, brackets and comments.
func strip(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n(")
		switch {
		case strings.HasPrefix(text, "--"):
			_, rest, found := strings.Cut(text, "\n")
			if !found {
				return ""
			}
			text = rest
		case strings.HasPrefix(text, "/*"):
			_, rest, found := strings.Cut(text, "*/")
			if !found {
				return ""
			}
			text = rest
		default:
			return text
		}
	}
}

// locks reports whether a query asks for row locks or stores its result.
func locks(words []string) bool {
	for i, w := range words {
		if w == "INTO" {
			return true
		}
		if w != "FOR" || i+1 >= len(words) {
			continue
		}
		switch strings.Trim(words[i+1], ";)") {
		case "UPDATE", "SHARE", "NO", "KEY":
			return true
		}
	}
	return false
}

// severalStatements reports whether a text has a semicolon before its end,
// one within a literal included.
func severalStatements(text string) bool {
	return strings.Contains(strings.TrimRight(text, "; \t\r\n"), ";")
}
