package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// sourceFile is a parsed source file, other than a test or a generated file.
type sourceFile struct {
	path    string
	syntax  *ast.File
	fileSet *token.FileSet
}

// moduleRoot is the path of the module's root directory, relative to this package.
const moduleRoot = "../../.."

// parseSources parses all source files of the module.
func parseSources(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	err := filepath.WalkDir(moduleRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		skipped := !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.HasSuffix(path, ".pb.go")
		if d.IsDir() || skipped {
			return nil
		}
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{
			path:    filepath.ToSlash(relative),
			syntax:  file,
			fileSet: fileSet,
		})
		return nil
	})
	if err != nil {
		t.Fatalf("walk: %v", err)
	}
	if len(files) < 20 {
		t.Fatalf("got %d files, want all files of the module", len(files))
	}
	return files
}

// isScaffolding reports whether the file belongs to the stand-ins or experiments,
// which are not part of the product.
func (s sourceFile) isScaffolding() bool {
	for _, prefix := range []string{"internal/standin/", "internal/experiment/", "cmd/standin/", "cmd/experiment/"} {
		if strings.HasPrefix(s.path, prefix) {
			return true
		}
	}
	return false
}

// position returns the file and line of a node.
func (s sourceFile) position(n ast.Node) string {
	return s.path + ":" + strconv.Itoa(s.fileSet.Position(n.Pos()).Line)
}

func TestGoStatementsOnlyInDutyPackage(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isScaffolding() || strings.HasPrefix(s.path, "internal/process/duty/") {
			continue
		}
		ast.Inspect(s.syntax, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("go statement outside the duty package at %s", s.position(g))
			}
			return true
		})
	}
}

func TestNoStructFieldIsADuration(t *testing.T) {
	// A mean service time and a credit of service time are amounts of time that no
	// deadline can represent.
	exempt := map[string]bool{
		"internal/traffic/queue/priority_queue.go": true,
		"internal/traffic/proxy/stats.go":          true,
	}
	for _, s := range parseSources(t) {
		if s.isScaffolding() || exempt[s.path] {
			continue
		}
		ast.Inspect(s.syntax, func(n ast.Node) bool {
			st, ok := n.(*ast.StructType)
			if !ok {
				return true
			}
			for _, f := range st.Fields.List {
				if mentionsDuration(f.Type) {
					t.Errorf("struct field with a duration at %s, want a deadline", s.position(f))
				}
			}
			return true
		})
	}
}

// mentionsDuration reports whether a type contains time.Duration other than in
// the signature of a function.
func mentionsDuration(e ast.Expr) bool {
	found := false
	ast.Inspect(e, func(n ast.Node) bool {
		if _, ok := n.(*ast.FuncType); ok {
			return false
		}
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		pkg, isName := sel.X.(*ast.Ident)
		if isName && pkg.Name == "time" && sel.Sel.Name == "Duration" {
			found = true
		}
		return true
	})
	return found
}

func TestPackageLayout(t *testing.T) {
	for _, s := range parseSources(t) {
		parts := strings.Split(s.path, "/")
		switch {
		case len(parts) == 1 && s.syntax.Name.Name == "rosemarylb":
		case parts[0] == "cmd" && len(parts) == 3:
		case parts[0] == "internal" && len(parts) == 4:
		case parts[0] == "platform" && len(parts) == 2:
		default:
			t.Errorf("got %s, want the root, cmd/name, internal/area/package or platform", s.path)
		}
	}
}

// adapterInterfaces are exported interfaces that a package declares for its user
// to implement, so that the two packages do not import each other.
var adapterInterfaces = map[string]bool{
	"internal/process/duty.Handler":            true,
	"internal/peer/endpoint.ConnectionHandler": true,
	"internal/peer/instance.Receiver":          true,
	"internal/peer/caller.Dispatcher":          true,
	"internal/process/stream.Handler":          true,
}

func TestBehaviourInterfacesAreInRootPackage(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isScaffolding() || !strings.Contains(s.path, "/") {
			continue
		}
		for _, d := range s.syntax.Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok {
				continue
			}
			for _, spec := range g.Specs {
				checkInterface(t, s, spec)
			}
		}
	}
}

func checkInterface(t *testing.T, s sourceFile, spec ast.Spec) {
	t.Helper()
	ts, ok := spec.(*ast.TypeSpec)
	if !ok || !ts.Name.IsExported() {
		return
	}
	it, ok := ts.Type.(*ast.InterfaceType)
	if !ok {
		return
	}
	name := filepath.ToSlash(filepath.Dir(s.path)) + "." + ts.Name.Name
	if adapterInterfaces[name] || isSealed(it) {
		return
	}
	t.Errorf("exported interface %s is declared outside the root package", name)
}

// isSealed reports whether an interface has methods, all unexported, as the event
// types of a ring have.
func isSealed(it *ast.InterfaceType) bool {
	for _, m := range it.Methods.List {
		if len(m.Names) == 1 && m.Names[0].IsExported() {
			return false
		}
	}
	return len(it.Methods.List) > 0
}

func TestStructLiteralsAreKeyedOneFieldPerLine(t *testing.T) {
	for _, s := range parseSources(t) {
		ast.Inspect(s.syntax, func(n ast.Node) bool {
			l, ok := n.(*ast.CompositeLit)
			if !ok || !namesStruct(l.Type) {
				return true
			}
			lines := map[int]bool{}
			for _, e := range l.Elts {
				kv, keyed := e.(*ast.KeyValueExpr)
				if !keyed {
					t.Errorf("struct literal without field names at %s", s.position(l))
					return true
				}
				line := s.fileSet.Position(kv.Pos()).Line
				if lines[line] || line == s.fileSet.Position(l.Lbrace).Line {
					t.Errorf("struct literal with several fields on a line at %s", s.position(l))
				}
				lines[line] = true
			}
			return true
		})
	}
}

// namesStruct reports whether the type of a literal is a named struct type. Any
// named type counts as one, except those listed as nonStructs.
func namesStruct(e ast.Expr) bool {
	nonStructs := map[string]bool{
		"Faults": true,
	}
	switch v := e.(type) {
	case *ast.Ident:
		return !nonStructs[v.Name]
	case *ast.SelectorExpr:
		return !nonStructs[v.Sel.Name]
	default:
		return false
	}
}

func TestRootValuesAreNotModifiedThroughParameters(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isScaffolding() || !strings.Contains(s.path, "/") {
			continue
		}
		for _, d := range s.syntax.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Body != nil {
				checkParametersUnmodified(t, s, f)
			}
		}
	}
}

// checkParametersUnmodified reports assignments to exported fields of parameters
// that are values of the root package. Local variables may be assigned to.
func checkParametersUnmodified(t *testing.T, s sourceFile, f *ast.FuncDecl) {
	t.Helper()
	names := map[string]bool{}
	for _, p := range f.Type.Params.List {
		sel, isSel := p.Type.(*ast.SelectorExpr)
		if !isSel {
			continue
		}
		if pkg, isName := sel.X.(*ast.Ident); !isName || pkg.Name != "rosemarylb" {
			continue
		}
		for _, name := range p.Names {
			names[name.Name] = true
		}
	}
	ast.Inspect(f.Body, func(n ast.Node) bool {
		a, ok := n.(*ast.AssignStmt)
		if !ok {
			return true
		}
		for _, left := range a.Lhs {
			sel, isSel := left.(*ast.SelectorExpr)
			if !isSel {
				continue
			}
			base, isName := sel.X.(*ast.Ident)
			if isName && names[base.Name] && sel.Sel.IsExported() {
				t.Errorf("assignment to a field of a root package value at %s, want a With method", s.position(a))
			}
		}
		return true
	})
}

func TestProductImportsNoStandIn(t *testing.T) {
	// The demo runs the whole service on stand-ins.
	for _, s := range parseSources(t) {
		if s.isScaffolding() || strings.HasPrefix(s.path, "internal/shell/demo/") {
			continue
		}
		for _, i := range s.syntax.Imports {
			if strings.Contains(i.Path.Value, "internal/standin/") {
				t.Errorf("product file %s imports the stand-in %s", s.path, i.Path.Value)
			}
		}
	}
}

func TestDecisionPackagesImportNoCodec(t *testing.T) {
	decisionPrefixes := []string{"internal/traffic/", "internal/failover/", "internal/fleet/member/"}
	banned := []string{"pgproto3", "gnet", "grpc", "protobuf", "net/http", "\"net\"", "internal/peer/", "internal/message/"}
	for _, s := range parseSources(t) {
		isDecision := !strings.Contains(s.path, "/")
		for _, prefix := range decisionPrefixes {
			isDecision = isDecision || strings.HasPrefix(s.path, prefix)
		}
		if !isDecision {
			continue
		}
		for _, i := range s.syntax.Imports {
			for _, b := range banned {
				if strings.Contains(i.Path.Value, b) {
					t.Errorf("%s imports %s, want no codec or socket in a decision package", s.path, i.Path.Value)
				}
			}
		}
	}
}

func TestFileLengthLimit(t *testing.T) {
	const limit = 520
	for _, s := range parseSources(t) {
		lines := s.fileSet.Position(s.syntax.End()).Line
		if lines > limit {
			t.Errorf("%s: got %d lines, want at most %d", s.path, lines, limit)
		}
	}
}
