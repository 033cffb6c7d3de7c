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

// source is one parsed file of the product.
type source struct {
	path string
	file *ast.File
	set  *token.FileSet
}

// root is the top folder of the project, seen from this package.
const root = "../../.."

func sources(t *testing.T) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		skipped := !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.HasSuffix(path, ".pb.go")
		if d.IsDir() || skipped {
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		all = append(all, source{
			path: filepath.ToSlash(relative),
			file: file,
			set:  set,
		})
		return nil
	})
	if err != nil {
		t.Fatalf("walk: %v", err)
	}
	if len(all) < 20 {
		t.Fatalf("got %d files, want the whole project", len(all))
	}
	return all
}

// isScaffolding reports whether a file belongs to the stand-ins or to the
// experiments.
func (s source) isScaffolding() bool {
	for _, prefix := range []string{"internal/standin/", "internal/experiment/", "cmd/standin/", "cmd/experiment/"} {
		if strings.HasPrefix(s.path, prefix) {
			return true
		}
	}
	return false
}

func (s source) at(n ast.Node) string {
	return s.path + ":" + strconv.Itoa(s.set.Position(n.Pos()).Line)
}

func TestGoStatementOnlyInDutyPackage(t *testing.T) {
	for _, s := range sources(t) {
		if s.isScaffolding() || strings.HasPrefix(s.path, "internal/process/duty/") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if g, is := n.(*ast.GoStmt); is {
				t.Errorf("go statement at %s, want none outside the duty package", s.at(g))
			}
			return true
		})
	}
}

func TestNoStructFieldHoldsADuration(t *testing.T) {
	// A mean service time and a credit of service time are amounts, not
	// moments: there is no deadline that could stand for them.
	amounts := map[string]bool{
		"internal/traffic/queue/shares.go": true,
		"internal/traffic/proxy/pace.go":   true,
	}
	for _, s := range sources(t) {
		if s.isScaffolding() || amounts[s.path] {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			st, is := n.(*ast.StructType)
			if !is {
				return true
			}
			for _, f := range st.Fields.List {
				if mentionsDuration(f.Type) {
					t.Errorf("field with a duration at %s, want a deadline", s.at(f))
				}
			}
			return true
		})
	}
}

func mentionsDuration(e ast.Expr) bool {
	found := false
	ast.Inspect(e, func(n ast.Node) bool {
		if _, is := n.(*ast.FuncType); is {
			return false
		}
		sel, is := n.(*ast.SelectorExpr)
		if !is {
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

func TestPackagesStandTwoLevelsUnderInternal(t *testing.T) {
	for _, s := range sources(t) {
		parts := strings.Split(s.path, "/")
		switch {
		case len(parts) == 1 && s.file.Name.Name == "rosemarylb":
		case parts[0] == "cmd" && len(parts) == 3:
		case parts[0] == "internal" && len(parts) == 4:
		case parts[0] == "platform" && len(parts) == 2:
		default:
			t.Errorf("got %s, want the root, cmd/name, internal/area/package or the adapter's folder", s.path)
		}
	}
}

// adapters are the interfaces of one peer's package that only its caller
// implements, so that packages need not import each other.
var adapters = map[string]bool{
	"internal/process/duty.Handler":            true,
	"internal/peer/endpoint.ConnectionHandler": true,
	"internal/peer/instance.Receiver":          true,
	"internal/peer/caller.Dispatcher":          true,
}

func TestBehaviourInterfacesStandInTheRootPackage(t *testing.T) {
	for _, s := range sources(t) {
		if s.isScaffolding() || !strings.Contains(s.path, "/") {
			continue
		}
		for _, d := range s.file.Decls {
			g, is := d.(*ast.GenDecl)
			if !is {
				continue
			}
			for _, spec := range g.Specs {
				checkInterface(t, s, spec)
			}
		}
	}
}

func checkInterface(t *testing.T, s source, spec ast.Spec) {
	t.Helper()
	ts, is := spec.(*ast.TypeSpec)
	if !is || !ts.Name.IsExported() {
		return
	}
	it, is := ts.Type.(*ast.InterfaceType)
	if !is {
		return
	}
	name := filepath.ToSlash(filepath.Dir(s.path)) + "." + ts.Name.Name
	if adapters[name] || isClosed(it) {
		return
	}
	t.Errorf("exported interface %s, want it in the root package", name)
}

// isClosed reports whether an interface only marks the events of a ring.
func isClosed(it *ast.InterfaceType) bool {
	for _, m := range it.Methods.List {
		if len(m.Names) == 1 && m.Names[0].IsExported() {
			return false
		}
	}
	return len(it.Methods.List) > 0
}

func TestStructLiteralsAreKeyedOneFieldALine(t *testing.T) {
	for _, s := range sources(t) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			l, is := n.(*ast.CompositeLit)
			if !is || !isStructName(l.Type) {
				return true
			}
			lines := map[int]bool{}
			for _, e := range l.Elts {
				kv, keyed := e.(*ast.KeyValueExpr)
				if !keyed {
					t.Errorf("literal without field names at %s", s.at(l))
					return true
				}
				line := s.set.Position(kv.Pos()).Line
				if lines[line] || line == s.set.Position(l.Lbrace).Line {
					t.Errorf("several fields on a line at %s", s.at(l))
				}
				lines[line] = true
			}
			return true
		})
	}
}

// isStructName reports whether a literal's type is a name that stands for a
// struct: the project has no named slices or maps in literals but these.
func isStructName(e ast.Expr) bool {
	notStructs := map[string]bool{
		"Faults": true,
	}
	switch v := e.(type) {
	case *ast.Ident:
		return !notStructs[v.Name]
	case *ast.SelectorExpr:
		return !notStructs[v.Sel.Name]
	default:
		return false
	}
}

func TestStateValuesAreNotWrittenFromOutside(t *testing.T) {
	for _, s := range sources(t) {
		if s.isScaffolding() || !strings.Contains(s.path, "/") {
			continue
		}
		for _, d := range s.file.Decls {
			if f, is := d.(*ast.FuncDecl); is && f.Body != nil {
				checkParametersUnwritten(t, s, f)
			}
		}
	}
}

// checkParametersUnwritten looks for writes to fields of parameters that are
// values of the root package. A value made in the function may be filled.
func checkParametersUnwritten(t *testing.T, s source, f *ast.FuncDecl) {
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
		a, is := n.(*ast.AssignStmt)
		if !is {
			return true
		}
		for _, left := range a.Lhs {
			sel, isSel := left.(*ast.SelectorExpr)
			if !isSel {
				continue
			}
			base, isName := sel.X.(*ast.Ident)
			if isName && names[base.Name] && sel.Sel.IsExported() {
				t.Errorf("field of a root value written at %s, want a With method", s.at(a))
			}
		}
		return true
	})
}

func TestStandInsStayOutOfTheProduct(t *testing.T) {
	// The demo and the experiments run the whole service on stand-ins.
	for _, s := range sources(t) {
		if s.isScaffolding() || strings.HasPrefix(s.path, "internal/shell/demo/") {
			continue
		}
		for _, i := range s.file.Imports {
			if strings.Contains(i.Path.Value, "internal/standin/") {
				t.Errorf("%s imports %s, want no stand-in in the product", s.path, i.Path.Value)
			}
		}
	}
}

func TestDecisionsImportNoCodec(t *testing.T) {
	decisions := []string{"internal/traffic/", "internal/failover/", "internal/fleet/member/"}
	banned := []string{"pgproto3", "gnet", "grpc", "protobuf", "net/http", "\"net\"", "internal/peer/", "internal/message/"}
	for _, s := range sources(t) {
		decides := !strings.Contains(s.path, "/")
		for _, d := range decisions {
			decides = decides || strings.HasPrefix(s.path, d)
		}
		if !decides {
			continue
		}
		for _, i := range s.file.Imports {
			for _, b := range banned {
				if strings.Contains(i.Path.Value, b) {
					t.Errorf("%s imports %s, want decisions apart from codecs and sockets", s.path, i.Path.Value)
				}
			}
		}
	}
}

func TestFilesStaySmall(t *testing.T) {
	const limit = 520
	for _, s := range sources(t) {
		lines := s.set.Position(s.file.End()).Line
		if lines > limit {
			t.Errorf("%s: got %d lines, want at most %d", s.path, lines, limit)
		}
	}
}
