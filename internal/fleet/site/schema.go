package site

import (
	"net"
	"strconv"
	"strings"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// valueKind is the type of a setting.
type valueKind uint8

const (
	kindText valueKind = iota
	kindAddress
	kindCount
	kindPercent
	kindSpan
	kindSwitch
	kindRank
)

var kindNames = [...]string{
	"a text", "an address host:port", "a whole number above 0", "a percentage from 0 to 100",
	"a time with its unit, such as 250ms or 5s", "true or false", "urgent, standard or background",
}

// schema lists the settings. A star stands for a name given by the operator.
var schema = map[string]valueKind{
	"service":                             kindText,
	"regions.*.domains.*.note":            kindText,
	"databases.*.endpoints.*.address":     kindAddress,
	"databases.*.endpoints.*.domain":      kindText,
	"databases.*.endpoints.*.slots":       kindCount,
	"databases.*.endpoints.*.leaving":     kindSwitch,
	"databases.*.endpoints.*.connections": kindCount,
	"ranks.*.share":                       kindPercent,
	"ranks.*.target":                      kindSpan,
	"callers.*.rank":                      kindRank,
	"callers.*.staleness":                 kindSpan,
	"callers.*.latest":                    kindSwitch,
	"limits.queue":                        kindCount,
	"limits.replica-wait":                 kindSpan,
	"limits.request":                      kindSpan,
	"limits.drain":                        kindSpan,
}

// sections are the mappings whose keys are names given by the operator.
var sections = []string{
	"regions", "regions.*.domains", "databases", "databases.*.endpoints", "ranks", "callers",
}

var errValue = errors.New("wrong value")

// pattern returns a path with the operator's names replaced by stars.
func pattern(path []string) string {
	shown := make([]string, 0, len(path))
	for _, key := range path {
		if isSection(strings.Join(shown, ".")) {
			key = "*"
		}
		shown = append(shown, key)
	}
	return strings.Join(shown, ".")
}

func isSection(p string) bool {
	for _, s := range sections {
		if s == p {
			return true
		}
	}
	return false
}

// known reports whether some setting begins with a pattern.
func known(p string) bool {
	for s := range schema {
		if s == p || strings.HasPrefix(s, p+".") {
			return true
		}
	}
	return false
}

// check returns errValue when a text is not of its kind.
func check(k valueKind, text string) error {
	valid := true
	switch k {
	case kindText:
		valid = text != ""
	case kindAddress:
		_, port, err := net.SplitHostPort(text)
		valid = err == nil && port != ""
	case kindCount:
		n, err := strconv.Atoi(text)
		valid = err == nil && n > 0
	case kindPercent:
		n, err := strconv.Atoi(text)
		valid = err == nil && n >= 0 && n <= 100
	case kindSpan:
		span, err := time.ParseDuration(text)
		valid = err == nil && span >= 0
	case kindSwitch:
		valid = text == "true" || text == "false"
	case kindRank:
		_, err := rosemarylb.ParseRank(text)
		valid = err == nil
	}
	if !valid {
		return errors.Wrapf(errValue, "%q is not %s", text, kindNames[k])
	}
	return nil
}

func count(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

func millis(text string) int64 {
	span, _ := time.ParseDuration(text)
	return span.Milliseconds()
}
