package upstream

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endTypes are the types of completion.End.
var endTypes = []string{"Whole", "Claimed", "BrokenOff"}

// TestSwitchesOverEndsAreComplete guards against a place where the end of a body is decided without a case for each kind of
// end, or by a default.
func TestSwitchesOverEndsAreComplete(t *testing.T) {
	files, err := filepath.Glob("../*/*.go")
	qt.Assert(t, err, qt.IsNil)
	found := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, name, nil, parser.SkipObjectResolution)
		qt.Assert(t, err, qt.IsNil)
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.TypeSwitchStmt)
			if !ok {
				return true
			}
			cases := make(map[string]bool)
			for _, c := range s.Body.List {
				clause, ok := c.(*ast.CaseClause)
				qt.Assert(t, ok, qt.IsTrue)
				if clause.List == nil {
					cases["default"] = true
				}
				for _, e := range clause.List {
					if selector, ok := e.(*ast.SelectorExpr); ok && isCompletion(selector.X) {
						cases[selector.Sel.Name] = true
					}
				}
			}
			missing := 0
			for _, e := range endTypes {
				if !cases[e] {
					missing++
				}
			}
			if missing == len(endTypes) {
				return true
			}
			found++
			qt.Check(t, missing == 0 && !cases["default"], qt.IsTrue, qt.Commentf("%s: %v", set.Position(s.Pos()), cases))
			return true
		})
	}
	qt.Assert(t, found > 0, qt.IsTrue)
}

func isCompletion(e ast.Expr) bool {
	i, ok := e.(*ast.Ident)
	return ok && i.Name == "completion"
}
