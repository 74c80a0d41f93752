package proxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// connectionCalls are the methods by which something is written to a connection, or its sending or itself ends.
var connectionCalls = map[string]bool{
	"Write": true, "WriteTo": true, "Close": true, "CloseWrite": true, "SetLinger": true, "CloseRead": true,
}

// askingFunctions are the functions that may call them, each with what has permitted it.
var askingFunctions = map[string]string{
	"writeReplies": "the final replies that Request.Apply has taken",
	"writeStream":  "the same, a value in chunks",
	"closeSending": "ClientConnConditions: MayClose, MayCloseUnread or MayExpire",
	"release":      "the end of serve, for one of the reasons of closeReason",
	"writeRequest": "AttemptConditions.MayBegin",
	"closeConn":    "an upstream connection that UpstreamConnConditions does not permit to be reused",
	"run":          "WatchConditions.MayOpen: the watch's own connection",
	"open":         "the same",
	"Run":          "the listener itself, once no client is accepted",
}

// The data path writes to connections, and ends them, in those functions only that have asked package lifecycle.
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
	for function := range askingFunctions {
		if !used[function] {
			t.Errorf("%s uses no connection any more; take it off the list", function)
		}
	}
}

// checkConnectionCalls looks for calls on connections in a function: those of methods of a field or variable whose name
// says that it is one.
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
		if askingFunctions[function.Name.Name] == "" {
			t.Errorf("%v: %s calls %s on a connection without having asked", files.Position(call.Pos()), function.Name.Name, method.Sel.Name)
		}
		return true
	})
}

// isConnection reports whether an expression is a connection, or bytes on their way to one, by its last name.
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
