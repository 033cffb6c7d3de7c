// Package site reads the service that operators describe: a base file and an
// overlay for each site, in YAML with kebab-case keys.
package site

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Place is where a value stands.
type Place struct {
	// File names the file.
	File string
	// Line and Column count from 1.
	Line int
	// Column counts from 1.
	Column int
}

// String returns the form file:line:column.
func (p Place) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Setting is one value with its place.
type Setting struct {
	// Path is the way to the value.
	Path []string
	// Value is its text.
	Value string
	// Place is where it stands.
	Place Place
}

// Key returns the path joined by dots.
func (s Setting) Key() string {
	return strings.Join(s.Path, ".")
}

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Place is where it stands.
	Place Place
	// Reason says what is wrong.
	Reason string
}

// Faults is everything that is wrong, as an error.
type Faults []Fault

// Error lists the faults, a line each.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Place.String()+": "+fault.Reason)
	}
	return strings.Join(lines, "\n")
}

// File is a source text with its name.
type File struct {
	// Name names the file in errors.
	Name string
	// Text is its content.
	Text []byte
}

// Document is an immutable set of settings in order of first appearance.
type Document struct {
	settings []Setting
}

// Settings returns the settings.
func (d Document) Settings() []Setting {
	return d.settings
}

// NewDocument reads a base file and its overlays. A value of a later file
// replaces that of an earlier one, and new names are added. It returns Faults
// with everything that is wrong in the files' form.
func NewDocument(files ...File) (Document, error) {
	var d Document
	var faults Faults
	for _, f := range files {
		settings, wrong := read(f)
		faults = append(faults, wrong...)
		d = d.withOverlay(settings)
	}
	if len(faults) > 0 {
		return Document{}, faults
	}
	return d, nil
}

func (d Document) withOverlay(settings []Setting) Document {
	merged := append([]Setting(nil), d.settings...)
	places := map[string]int{}
	for i, s := range merged {
		places[s.Key()] = i
	}
	for _, s := range settings {
		if i, found := places[s.Key()]; found {
			merged[i] = s
			continue
		}
		places[s.Key()] = len(merged)
		merged = append(merged, s)
	}
	d.settings = merged
	return d
}

// reader collects the settings of one file.
type reader struct {
	file     string
	settings []Setting
	faults   Faults
}

func read(f File) ([]Setting, Faults) {
	r := &reader{
		file: f.Name,
	}
	parsed, err := parser.ParseBytes(f.Text, 0)
	if err != nil {
		return nil, Faults{syntaxFault(f.Name, err)}
	}
	for _, doc := range parsed.Docs {
		if doc.Body != nil {
			r.node(nil, doc.Body)
		}
	}
	return r.settings, r.faults
}

// syntaxFault takes the place out of the library's error.
func syntaxFault(file string, err error) Fault {
	place := Place{
		File: file,
	}
	text := strings.TrimSpace(err.Error())
	first, _, _ := strings.Cut(text, "\n")
	_, scanErr := fmt.Sscanf(first, "[%d:%d]", &place.Line, &place.Column)
	if scanErr == nil {
		_, first, _ = strings.Cut(first, "] ")
	}
	return Fault{
		Place:  place,
		Reason: first,
	}
}

func (r *reader) node(path []string, n ast.Node) {
	switch v := n.(type) {
	case *ast.MappingNode:
		r.mapping(path, v.Values)
	case *ast.MappingValueNode:
		r.mapping(path, []*ast.MappingValueNode{v})
	case *ast.StringNode:
		r.scalar(path, v, v.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		r.scalar(path, v, v.GetToken().Value)
	case *ast.NullNode:
		// An empty section sets nothing.
	default:
		r.fault(n, fmt.Sprintf("%s: a mapping or a plain value is wanted here", strings.Join(path, ".")))
	}
}

func (r *reader) mapping(path []string, values []*ast.MappingValueNode) {
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.GetToken().Value
		if seen[key] {
			r.fault(v.Key, "the key "+key+" stands twice")
			continue
		}
		seen[key] = true
		next := append(append([]string(nil), path...), key)
		if !known(pattern(next)) {
			r.fault(v.Key, "there is no setting "+strings.Join(next, "."))
			continue
		}
		if named := pattern(next); strings.HasSuffix(named, ".*") && !kebab(key) {
			r.fault(v.Key, "the name "+key+" is not in kebab case")
			continue
		}
		if name := pattern(next); strings.HasSuffix(name, "domains.*") {
			r.scalar(append(next, "note"), v.Key, key)
		}
		r.node(next, v.Value)
	}
}

func kebab(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return name != "" && name[0] != '-'
}

func (r *reader) scalar(path []string, n ast.Node, value string) {
	k, found := schema[pattern(path)]
	if !found {
		r.fault(n, strings.Join(path, ".")+": a mapping is wanted here")
		return
	}
	if err := check(k, value); err != nil {
		r.fault(n, strings.Join(path, ".")+": "+errors.UnwrapAll(err).Error()+": "+fmt.Sprintf("%q is not %s",
			value, kindNames[k]))
		return
	}
	r.settings = append(r.settings, Setting{
		Path:  path,
		Value: value,
		Place: r.place(n),
	})
}

func (r *reader) place(n ast.Node) Place {
	p := n.GetToken().Position
	return Place{
		File:   r.file,
		Line:   p.Line,
		Column: p.Column,
	}
}

func (r *reader) fault(n ast.Node, reason string) {
	r.faults = append(r.faults, Fault{
		Place:  r.place(n),
		Reason: reason,
	})
}

// Render returns the document as one YAML text. With origins, each value is
// followed by its place.
func (d Document) Render(origins bool) []byte {
	root := newTree()
	for _, s := range d.settings {
		root.add(s.Path, s)
	}
	var b strings.Builder
	root.render(&b, "", origins)
	return []byte(b.String())
}

// tree orders settings by their paths for rendering.
type tree struct {
	keys     []string
	children map[string]*tree
	setting  *Setting
}

func newTree() *tree {
	return &tree{
		children: map[string]*tree{},
	}
}

func (t *tree) add(path []string, s Setting) {
	if len(path) == 0 {
		t.setting = &s
		return
	}
	child, found := t.children[path[0]]
	if !found {
		child = newTree()
		t.children[path[0]] = child
		t.keys = append(t.keys, path[0])
	}
	child.add(path[1:], s)
}

func (t *tree) render(b *strings.Builder, indent string, origins bool) {
	for _, key := range t.keys {
		child := t.children[key]
		b.WriteString(indent + key + ":")
		if child.setting == nil {
			b.WriteString("\n")
			child.render(b, indent+"  ", origins)
			continue
		}
		b.WriteString(" " + quote(child.setting.Value))
		if origins {
			b.WriteString("  # " + child.setting.Place.String())
		}
		b.WriteString("\n")
	}
}

// quote writes a value so that it reads back as the same text.
func quote(value string) string {
	plain := strings.IndexFunc(value, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("-._", c)
	}) < 0
	if plain && value != "" {
		return value
	}
	return "\"" + strings.NewReplacer("\\", "\\\\", "\"", "\\\"").Replace(value) + "\""
}

// Change is one difference between two documents.
type Change struct {
	// Key is the setting.
	Key string
	// Before is the former value, empty if there was none.
	Before string
	// After is the new value, empty if there is none.
	After string
}

// Diff returns the differences from one document to another, by key.
func Diff(before, after Document) []Change {
	values := map[string]Change{}
	for _, s := range before.settings {
		values[s.Key()] = Change{
			Key:    s.Key(),
			Before: s.Value,
		}
	}
	for _, s := range after.settings {
		c := values[s.Key()]
		c.Key = s.Key()
		c.After = s.Value
		values[s.Key()] = c
	}
	var changes []Change
	for _, c := range values {
		if c.Before != c.After {
			changes = append(changes, c)
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		return changes[i].Key < changes[j].Key
	})
	return changes
}

// GroupChanges returns the databases of both documents whose sets of endpoints
// differ. A majority of the one set need not meet a majority of the other, so
// such a change could lose what was acknowledged.
func GroupChanges(before, after Document) []string {
	known := groups(before)
	var changed []string
	for name, endpoints := range groups(after) {
		if standing, found := known[name]; found && standing != endpoints {
			changed = append(changed, name)
		}
	}
	sort.Strings(changed)
	return changed
}

// groups returns the sorted names of each database's endpoints, as one text.
func groups(d Document) map[string]string {
	members := map[string][]string{}
	for _, s := range d.settings {
		if len(s.Path) == 5 && s.Path[0] == "databases" && s.Path[4] == "address" {
			members[s.Path[1]] = append(members[s.Path[1]], s.Path[3])
		}
	}
	sets := map[string]string{}
	for name, endpoints := range members {
		sort.Strings(endpoints)
		sets[name] = strings.Join(endpoints, " ")
	}
	return sets
}
