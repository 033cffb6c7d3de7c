package demo

import (
	"log/slog"
	"strings"
	"testing"
)

func TestLineServiceReadsBackThroughAnotherInstance(t *testing.T) {
	service, stop, err := NewLineService(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	text, err := service.RunScenario()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"< COMPLETE signed.endpoint-0", "< ROW hall-mirror-820mm"} {
		if !strings.Contains(text, want) {
			t.Errorf("got %s, want %q in it", text, want)
		}
	}
}
