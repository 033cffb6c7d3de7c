package demo

import (
	"log/slog"
	"strings"
	"testing"
)

func TestTheLineDemoReadsBackThroughAnotherInstance(t *testing.T) {
	l, stop, err := NewLine(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	text, err := l.RunScenario()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"< COMPLETE signed.endpoint-0", "< ROW hall-mirror-820mm"} {
		if !strings.Contains(text, want) {
			t.Errorf("got %s, want %q in it", text, want)
		}
	}
}
