package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// errorResponse is the JSON form of an error: the name of its type, its message, and its exported fields.
type errorResponse struct {
	Type    string `json:"type"`
	Message string `json:"error"`
	Details error  `json:"found,omitempty"`
}

// newErrorResponse returns the response that reports err.
func newErrorResponse(err error) errorResponse {
	return errorResponse{Type: typeName(err), Message: err.Error(), Details: err}
}

// typeName returns the name of err's type in responses. An error whose TypeName method returns the name, such as those of
// the planner, keeps it when its package or Go type is renamed. The name of any other error is that of its package and Go
// type.
func typeName(err error) string {
	var named interface{ TypeName() string }
	if errors.As(err, &named) {
		return named.TypeName()
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", err), "*")
}

// writeText writes a text response. A write error is ignored: it means that the caller has disconnected or that its
// connection was evicted, and net/http closes the connection.
func writeText(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
}

// writeJSON writes a JSON response with the given status code. Like writeText, it ignores write errors.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
