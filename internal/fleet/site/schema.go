package site

import (
	"net"
	"strconv"
	"strings"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// settingType is the type of a setting's value.
type settingType uint8

const (
	typeString settingType = iota
	typeAddress
	typePositiveInt
	typePercent
	typeDuration
	typeBool
	typeRank
)

var typeDescriptions = [...]string{
	"a non-empty string", "an address of the form host:port", "a positive integer", "a percentage from 0 to 100",
	"a duration with a unit, such as 250ms or 5s", "true or false", "urgent, standard or background",
}

// schema maps the path of each setting to its type. A star matches a name that
// the operator chooses.
var schema = map[string]settingType{
	"service":                             typeString,
	"regions.*.domains.*.note":            typeString,
	"databases.*.endpoints.*.address":     typeAddress,
	"databases.*.endpoints.*.domain":      typeString,
	"databases.*.endpoints.*.slots":       typePositiveInt,
	"databases.*.endpoints.*.leaving":     typeBool,
	"databases.*.endpoints.*.connections": typePositiveInt,
	"ranks.*.share":                       typePercent,
	"ranks.*.target":                      typeDuration,
	"callers.*.rank":                      typeRank,
	"callers.*.staleness":                 typeDuration,
	"callers.*.latest":                    typeBool,
	"limits.queue":                        typePositiveInt,
	"limits.replica-wait":                 typeDuration,
	"limits.request":                      typeDuration,
	"limits.drain":                        typeDuration,
}

// namedSections are the mappings whose keys are names that the operator chooses.
var namedSections = []string{
	"regions", "regions.*.domains", "databases", "databases.*.endpoints", "ranks", "callers",
}

var errInvalidValue = errors.New("invalid value")

// schemaPath returns the path as in schema: separated by dots, with a star for
// each name that the operator chose.
func schemaPath(path []string) string {
	keys := make([]string, 0, len(path))
	for _, key := range path {
		if isNamedSection(strings.Join(keys, ".")) {
			key = "*"
		}
		keys = append(keys, key)
	}
	return strings.Join(keys, ".")
}

func isNamedSection(p string) bool {
	for _, s := range namedSections {
		if s == p {
			return true
		}
	}
	return false
}

// inSchema reports whether a schema path is a setting or a mapping that contains
// settings.
func inSchema(p string) bool {
	for s := range schema {
		if s == p || strings.HasPrefix(s, p+".") {
			return true
		}
	}
	return false
}

// validate returns an error that wraps errInvalidValue if the text is not of the
// type.
func validate(t settingType, text string) error {
	valid := true
	switch t {
	case typeString:
		valid = text != ""
	case typeAddress:
		_, port, err := net.SplitHostPort(text)
		valid = err == nil && port != ""
	case typePositiveInt:
		n, err := strconv.Atoi(text)
		valid = err == nil && n > 0
	case typePercent:
		n, err := strconv.Atoi(text)
		valid = err == nil && n >= 0 && n <= 100
	case typeDuration:
		span, err := time.ParseDuration(text)
		valid = err == nil && span >= 0
	case typeBool:
		valid = text == "true" || text == "false"
	case typeRank:
		_, err := rosemarylb.ParseRank(text)
		valid = err == nil
	}
	if !valid {
		return errors.Wrapf(errInvalidValue, "%q is not %s", text, typeDescriptions[t])
	}
	return nil
}

func parseInt(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

func parseMillis(text string) int64 {
	span, _ := time.ParseDuration(text)
	return span.Milliseconds()
}
