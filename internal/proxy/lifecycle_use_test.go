package proxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// connectionCalls are the methods that write to a connection, end its sending side or close it.
var connectionCalls = map[string]bool{
	"Write": true, "WriteTo": true, "Close": true, "CloseWrite": true, "SetLinger": true, "CloseRead": true,
}

// permittedFunctions are the functions that may call these methods, each with the condition that permits the call.
var permittedFunctions = map[string]string{
	"writeReplies": "the final replies that Request.Apply has accepted",
	"writeStream":  "as for writeReplies, for a value in chunks",
	"closeSending": "ClientConnConditions: MayClose, MayCloseUnread or MayExpire",
	"release":      "serve has returned, for one of the reasons of closeReason",
	"writeRequest": "AttemptConditions.MayBegin",
	"closeConn":    "an upstream connection that UpstreamConnConditions does not permit to be reused",
	"run":          "WatchConditions.MayOpen: the watch's own connection",
	"open":         "as for run",
	"Run":          "the listener itself, after accepting has ended",
}

// The data path writes to connections and closes them only in functions that have checked with package lifecycle that
// they may.
func TestConnectionsAreUsedWherePermitted(t *testing.T) {
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	files, used := token.NewFileSet(), map[string]bool{}
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				checkConnectionCalls(t, files, function, used)
			}
		}
	}
	for function := range permittedFunctions {
		if !used[function] {
			t.Errorf("%s no longer uses a connection; remove it from permittedFunctions", function)
		}
	}
}

// checkConnectionCalls checks the calls on connections in a function. A call counts as one if its receiver is a variable
// or field with the name of a connection.
func checkConnectionCalls(t *testing.T, files *token.FileSet, function *ast.FuncDecl, used map[string]bool) {
	t.Helper()
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !connectionCalls[method.Sel.Name] || !isConnection(method.X) {
			return true
		}
		used[function.Name.Name] = true
		if permittedFunctions[function.Name.Name] == "" {
			t.Errorf("%v: %s calls %s on a connection and is not in permittedFunctions",
				files.Position(call.Pos()), function.Name.Name, method.Sel.Name)
		}
		return true
	})
}

// isConnection reports whether an expression is a connection, or buffers to be written to one, judged by the last
// identifier in it.
func isConnection(expression ast.Expr) bool {
	name := ""
	switch x := expression.(type) {
	case *ast.Ident:
		name = x.Name
	case *ast.SelectorExpr:
		name = x.Sel.Name
	}
	switch strings.ToLower(name) {
	case "conn", "out", "buffers", "half", "ln":
		return true
	}
	return false
}
