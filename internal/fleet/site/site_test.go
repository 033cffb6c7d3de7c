package site

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func file(name, text string) File {
	return File{
		Name: name,
		Text: []byte(text),
	}
}

const minimalDocument = `service: test
regions:
  hills:
    domains:
      d0:
databases:
  book:
    endpoints:
      book-0:
        address: "127.0.0.1:1"
        domain: d0
`

func TestFaultsHavePositions(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown key", minimalDocument + "limit:\n  queue: 1\n", "overlay.yaml:12:1: unknown setting limit"},
		{"wrong unit", minimalDocument + "limits:\n  request: 10\n", "overlay.yaml:13:12: limits.request: invalid value: \"10\" is not a duration"},
		{"shares over 100 percent", minimalDocument + "ranks:\n  urgent:\n    share: 80\n  background:\n    share: 50\n", "the minimum shares add up to 150 percent, more than 100"},
		{"unknown domain", strings.Replace(minimalDocument, "domain: d0", "domain: d9", 1), "overlay.yaml:11:17: databases.book.endpoints.book-0.domain: the domain \"d9\" is not in any region"},
		{"unknown rank", minimalDocument + "callers:\n  fitter:\n    rank: first\n", "is not urgent, standard or background"},
		{"contradictory settings", minimalDocument + "callers:\n  agent:\n    latest: true\n    staleness: 5s\n", "staleness cannot be combined with latest"},
		{"not kebab case", minimalDocument + "callers:\n  Fitter_1:\n    rank: urgent\n", "is not in kebab case"},
		{"no mapping", "databases: 7\n", "expected a mapping"},
		{"no YAML", "a: [\n", "overlay.yaml:"},
		{"duplicate key", minimalDocument + "service: again\n", "service"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, err := NewDocument(file("overlay.yaml", tt.text))
			if err == nil {
				_, err = d.ServiceConfig()
			}
			if err == nil {
				t.Fatal("got no error, want one")
			}
			if got := err.Error(); !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want %q in it", got, tt.want)
			}
		})
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	_, err := NewDocument(file("a", "nothing: 1\nnowhere: 2\n"))
	faults, ok := err.(Faults) //nolint:errorlint // NewDocument does not wrap Faults
	if !ok || len(faults) != 2 {
		t.Errorf("got %v, want two faults", err)
	}
}

func TestOverlayReplacesAndAddsSettings(t *testing.T) {
	d, err := NewDocument(file("base", minimalDocument), file("overlay",
		"databases:\n  book:\n    endpoints:\n      book-0:\n        slots: 5\ncallers:\n  clerk:\n    rank: background\n"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := d.ServiceConfig()
	if err != nil {
		t.Fatal(err)
	}
	e, _ := s.Endpoint("book-0")
	if got, want := e.Slots, 5; got != want {
		t.Errorf("got %d slots, want %d", got, want)
	}
	if got, want := s.Caller("clerk").Rank.String(), "background"; got != want {
		t.Errorf("got rank %s, want %s", got, want)
	}
	if got, want := string(d.Render(true)), "slots: 5  # overlay:5:16"; !strings.Contains(got, want) {
		t.Errorf("got %s, want %q in it", got, want)
	}
}

func TestRenderedExamplesParseBack(t *testing.T) {
	for _, name := range []string{"society", "registry"} {
		text, err := os.ReadFile(filepath.Join("../../../examples", name, "base.yaml"))
		if err != nil {
			t.Fatal(err)
		}
		d, err := NewDocument(file(name, string(text)))
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := NewDocument(file(name, string(d.Render(false))))
		if err != nil {
			t.Fatal(err)
		}
		if got := Diff(d, parsed); len(got) != 0 {
			t.Errorf("%s: got %v, want no difference", name, got)
		}
		if _, err := Parse(d.Render(false)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzDocument(f *testing.F) {
	f.Add(minimalDocument)
	f.Add("a: [1, {b: c}]\n- x\n")
	f.Add("databases:\n  ? x\n  : y\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := NewDocument(file("fuzz", text))
		if err != nil {
			return
		}
		if _, err := d.ServiceConfig(); err != nil {
			return
		}
		if _, err := Parse(d.Render(false)); err != nil {
			t.Errorf("a rendered document does not parse: %v", err)
		}
	})
}

func TestGroupChangesDetectsChangedEndpoints(t *testing.T) {
	read := func(text string) Document {
		d, err := NewDocument(file("a", text))
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	base := read(minimalDocument)
	tests := []struct {
		name string
		text string
		want int
	}{
		{"another address", strings.Replace(minimalDocument, "127.0.0.1:1", "127.0.0.1:9", 1), 0},
		{"another endpoint", strings.Replace(minimalDocument, "book-0:", "book-9:", 1), 1},
		{"another database", strings.Replace(strings.Replace(minimalDocument, "book:", "shelf:", 1), "book-0:", "shelf-0:", 1), 0},
	}
	for _, tt := range tests {
		if got := GroupChanges(base, read(tt.text)); len(got) != tt.want {
			t.Errorf("%s: got %v, want %d changed", tt.name, got, tt.want)
		}
	}
}

// generatedDocument returns a document with a number of databases, each with
// three endpoints.
func generatedDocument(count int) []byte {
	var b strings.Builder
	b.WriteString("service: large\nregions:\n  hills:\n    domains:\n      d0:\ndatabases:\n")
	for n := range count {
		fmt.Fprintf(&b, "  database-%d:\n    endpoints:\n", n)
		for e := range 3 {
			fmt.Fprintf(&b, "      database-%d-%d:\n        address: \"10.%d.%d.%d:5432\"\n        domain: d0\n", n, e,
				n/250, n%250, e)
		}
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	for _, count := range []int{3, 300, 3000} {
		text := generatedDocument(count)
		b.Run(fmt.Sprintf("databases-%d", count), func(b *testing.B) {
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text))/float64(count), "bytes/database")
		})
	}
}
