package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// errorResponse is an error as JSON: its type, a sentence that says what to do, and the error's own fields.
type errorResponse struct {
	Type    string `json:"type"`
	Message string `json:"error"`
	Details error  `json:"found,omitempty"`
}

// newErrorResponse describes the error to a caller.
func newErrorResponse(err error) errorResponse {
	return errorResponse{Type: typeName(err), Message: err.Error(), Details: err}
}

// typeName returns the name by which callers know an error's type. Errors of the planner state it themselves, since it must
// not change with the package or the name of their Go type.
func typeName(err error) string {
	var named interface{ TypeName() string }
	if errors.As(err, &named) {
		return named.TypeName()
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", err), "*")
}

// writeText writes an answer. A failed write means that the caller is gone or was evicted: there is nobody to tell, and
// net/http closes the connection.
func writeText(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
}

// writeJSON writes an answer with its status, under the same terms as writeText.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
