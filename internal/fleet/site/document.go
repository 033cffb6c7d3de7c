// Package site parses, validates and renders the configuration files: a base
// file and an overlay for each site, in YAML with kebab-case keys.
package site

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Position is a position in a source file.
type Position struct {
	// File names the file.
	File string
	// Line is the line number, from 1.
	Line int
	// Column is the column number, from 1.
	Column int
}

// String returns the form file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Setting is a scalar value of a document.
type Setting struct {
	// Path is the list of mapping keys that lead to the value.
	Path []string
	// Value is the text of the value.
	Value string
	// Position is the position in the source.
	Position Position
}

// Key returns the path, separated by dots.
func (s Setting) Key() string {
	return strings.Join(s.Path, ".")
}

// Fault is a validation error in a document.
type Fault struct {
	// Position is the position in the source.
	Position Position
	// Reason is the error message.
	Reason string
}

// Faults is the error type for all validation errors in a document.
type Faults []Fault

// Error returns the faults, one per line, each preceded by its position.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Position.String()+": "+fault.Reason)
	}
	return strings.Join(lines, "\n")
}

// File is a source file.
type File struct {
	// Name is the file name to use in errors.
	Name string
	// Text is the content.
	Text []byte
}

// Document is an immutable list of settings in order of first appearance.
type Document struct {
	settings []Setting
}

// Settings returns the settings. The caller must not modify them.
func (d Document) Settings() []Setting {
	return d.settings
}

// NewDocument parses a base file and its overlays. A setting in a later file
// replaces the same setting of an earlier one. The returned error is of type
// Faults and contains all syntax errors, unknown settings and invalid values.
func NewDocument(files ...File) (Document, error) {
	var d Document
	var faults Faults
	for _, f := range files {
		settings, invalid := parseFile(f)
		faults = append(faults, invalid...)
		d = d.withOverlay(settings)
	}
	if len(faults) > 0 {
		return Document{}, faults
	}
	return d, nil
}

func (d Document) withOverlay(settings []Setting) Document {
	merged := append([]Setting(nil), d.settings...)
	indexes := map[string]int{}
	for i, s := range merged {
		indexes[s.Key()] = i
	}
	for _, s := range settings {
		if i, found := indexes[s.Key()]; found {
			merged[i] = s
			continue
		}
		indexes[s.Key()] = len(merged)
		merged = append(merged, s)
	}
	d.settings = merged
	return d
}

// fileParser collects the settings of one file.
type fileParser struct {
	file     string
	settings []Setting
	faults   Faults
}

func parseFile(f File) ([]Setting, Faults) {
	r := &fileParser{
		file: f.Name,
	}
	parsed, err := parser.ParseBytes(f.Text, 0)
	if err != nil {
		return nil, Faults{syntaxError(f.Name, err)}
	}
	for _, doc := range parsed.Docs {
		if doc.Body != nil {
			r.addNode(nil, doc.Body)
		}
	}
	return r.settings, r.faults
}

// syntaxError converts an error of the YAML parser, which starts with the
// position in the form [line:column].
func syntaxError(file string, err error) Fault {
	position := Position{
		File: file,
	}
	text := strings.TrimSpace(err.Error())
	first, _, _ := strings.Cut(text, "\n")
	_, scanErr := fmt.Sscanf(first, "[%d:%d]", &position.Line, &position.Column)
	if scanErr == nil {
		_, first, _ = strings.Cut(first, "] ")
	}
	return Fault{
		Position: position,
		Reason:   first,
	}
}

func (fp *fileParser) addNode(path []string, n ast.Node) {
	switch v := n.(type) {
	case *ast.MappingNode:
		fp.addMapping(path, v.Values)
	case *ast.MappingValueNode:
		fp.addMapping(path, []*ast.MappingValueNode{v})
	case *ast.StringNode:
		fp.addScalar(path, v, v.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		fp.addScalar(path, v, v.GetToken().Value)
	case *ast.NullNode:
		// An empty mapping has no settings.
	default:
		fp.addFault(n, fmt.Sprintf("%s: expected a mapping or a scalar", strings.Join(path, ".")))
	}
}

func (fp *fileParser) addMapping(path []string, values []*ast.MappingValueNode) {
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.GetToken().Value
		if seen[key] {
			fp.addFault(v.Key, "the key "+key+" is duplicated")
			continue
		}
		seen[key] = true
		next := append(append([]string(nil), path...), key)
		if !inSchema(schemaPath(next)) {
			fp.addFault(v.Key, "unknown setting "+strings.Join(next, "."))
			continue
		}
		if p := schemaPath(next); strings.HasSuffix(p, ".*") && !isKebabCase(key) {
			fp.addFault(v.Key, "the name "+key+" is not in kebab case")
			continue
		}
		if p := schemaPath(next); strings.HasSuffix(p, "domains.*") {
			// A domain may be an empty mapping. The note records its name.
			fp.addScalar(append(next, "note"), v.Key, key)
		}
		fp.addNode(next, v.Value)
	}
}

func isKebabCase(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return name != "" && name[0] != '-'
}

func (fp *fileParser) addScalar(path []string, n ast.Node, value string) {
	t, found := schema[schemaPath(path)]
	if !found {
		fp.addFault(n, strings.Join(path, ".")+": expected a mapping")
		return
	}
	if err := validate(t, value); err != nil {
		fp.addFault(n, strings.Join(path, ".")+": "+errors.UnwrapAll(err).Error()+": "+fmt.Sprintf("%q is not %s",
			value, typeDescriptions[t]))
		return
	}
	fp.settings = append(fp.settings, Setting{
		Path:     path,
		Value:    value,
		Position: fp.positionOf(n),
	})
}

func (fp *fileParser) positionOf(n ast.Node) Position {
	p := n.GetToken().Position
	return Position{
		File:   fp.file,
		Line:   p.Line,
		Column: p.Column,
	}
}

func (fp *fileParser) addFault(n ast.Node, reason string) {
	fp.faults = append(fp.faults, Fault{
		Position: fp.positionOf(n),
		Reason:   reason,
	})
}

// Render returns the document as YAML. If origins is true, a comment after each
// value states its position in the source.
func (d Document) Render(origins bool) []byte {
	root := newRenderNode()
	for _, s := range d.settings {
		root.add(s.Path, s)
	}
	var b strings.Builder
	root.render(&b, "", origins)
	return []byte(b.String())
}

// renderNode is a node of the tree that Render builds from the settings' paths.
type renderNode struct {
	keys     []string
	children map[string]*renderNode
	setting  *Setting
}

func newRenderNode() *renderNode {
	return &renderNode{
		children: map[string]*renderNode{},
	}
}

func (n *renderNode) add(path []string, s Setting) {
	if len(path) == 0 {
		n.setting = &s
		return
	}
	child, found := n.children[path[0]]
	if !found {
		child = newRenderNode()
		n.children[path[0]] = child
		n.keys = append(n.keys, path[0])
	}
	child.add(path[1:], s)
}

func (n *renderNode) render(b *strings.Builder, indent string, origins bool) {
	for _, key := range n.keys {
		child := n.children[key]
		b.WriteString(indent + key + ":")
		if child.setting == nil {
			b.WriteString("\n")
			child.render(b, indent+"  ", origins)
			continue
		}
		b.WriteString(" " + quote(child.setting.Value))
		if origins {
			b.WriteString("  # " + child.setting.Position.String())
		}
		b.WriteString("\n")
	}
}

// quote returns a YAML scalar that parses as the given string.
func quote(value string) string {
	plain := strings.IndexFunc(value, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("-._", c)
	}) < 0
	if plain && value != "" {
		return value
	}
	return "\"" + strings.NewReplacer("\\", "\\\\", "\"", "\\\"").Replace(value) + "\""
}

// Change is a setting that differs between two documents.
type Change struct {
	// Key is the path of the setting, separated by dots.
	Key string
	// Before is the old value, empty if the setting was added.
	Before string
	// After is the new value, empty if the setting was removed.
	After string
}

// Diff returns the settings that differ between two documents, sorted by key.
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

// GroupChanges returns the names of the databases that are in both documents but
// with different sets of endpoints. A majority of the old set and a majority of
// the new set may be disjoint, so such a change could lose acknowledged commits.
func GroupChanges(before, after Document) []string {
	old := endpointSets(before)
	var changed []string
	for name, endpoints := range endpointSets(after) {
		if previous, found := old[name]; found && previous != endpoints {
			changed = append(changed, name)
		}
	}
	sort.Strings(changed)
	return changed
}

// endpointSets returns the endpoint names of each database, sorted and separated
// by spaces.
func endpointSets(d Document) map[string]string {
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
