//go:build review

package standin

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to the functions that run them. Each returns
// whether the rule was broken; with trouble false it leaves the disruption out.
var cases = map[string]func(folder string, trouble bool) (broken bool, err error){
	"stop-under-load": stopUnderLoad,
	"frozen-holder":   frozenHolder,
	"handed-back":     handedBack,
}

// TestMain runs one case instead of tests: the arguments are its name and the folder
// for record.txt.
func TestMain(_ *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	default:
		os.Exit(exitHeld)
	}
}
