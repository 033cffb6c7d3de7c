package session

import (
	"strings"

	"rosemarylb"
)

// Classify returns the class of a statement text by its keywords. inTransaction
// is true if a transaction is open before the statement. Outside a transaction
// every statement that is not certain to be a read or a BEGIN counts as a write.
func Classify(text string, inTransaction bool) rosemarylb.Class {
	words := strings.Fields(strings.ToUpper(trimLeadingComments(text)))
	if inTransaction {
		return classifyInTransaction(text, words)
	}
	if len(words) == 0 {
		return rosemarylb.ClassRead
	}
	multiple := hasMultipleStatements(text)
	switch words[0] {
	case "BEGIN", "START":
		if multiple {
			return rosemarylb.ClassWrite
		}
		return rosemarylb.ClassBegin
	case "SELECT", "VALUES", "TABLE", "SHOW":
		if multiple || locksOrStoresRows(words) {
			return rosemarylb.ClassWrite
		}
		return rosemarylb.ClassRead
	default:
		return rosemarylb.ClassWrite
	}
}

// classifyInTransaction returns the class of a statement text in an open
// transaction. Several statements with a commit among them count as a commit.
func classifyInTransaction(text string, words []string) rosemarylb.Class {
	if len(words) == 0 {
		return rosemarylb.ClassInTransaction
	}
	if hasMultipleStatements(text) {
		for _, w := range words {
			if w := strings.Trim(w, ";"); w == "COMMIT" || w == "END" {
				return rosemarylb.ClassCommit
			}
		}
		return rosemarylb.ClassInTransaction
	}
	switch strings.Trim(words[0], ";") {
	case "COMMIT", "END":
		return rosemarylb.ClassCommit
	case "ROLLBACK", "ABORT":
		for _, w := range words {
			if w == "TO" {
				return rosemarylb.ClassInTransaction
			}
		}
		return rosemarylb.ClassRollback
	default:
		return rosemarylb.ClassInTransaction
	}
}

// combineClasses returns the class of a request that consists of two parts with
// the given classes.
func combineClasses(a, b rosemarylb.Class, inTransaction bool) rosemarylb.Class {
	if a == b && (a == rosemarylb.ClassRead || a == rosemarylb.ClassInTransaction) {
		return a
	}
	if !inTransaction {
		return rosemarylb.ClassWrite
	}
	if a == rosemarylb.ClassCommit || b == rosemarylb.ClassCommit {
		return rosemarylb.ClassCommit
	}
	return rosemarylb.ClassInTransaction
}

// trimLeadingComments removes leading comments, white space and opening
// parentheses.
func trimLeadingComments(text string) string {
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

// locksOrStoresRows reports whether a query has a locking clause (FOR UPDATE and
// the like) or an INTO clause, which stores the result in a table.
func locksOrStoresRows(words []string) bool {
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

// hasMultipleStatements reports whether a text has a semicolon before its end.
// It does not parse literals: a semicolon within one counts, too.
func hasMultipleStatements(text string) bool {
	return strings.Contains(strings.TrimRight(text, "; \t\r\n"), ";")
}
