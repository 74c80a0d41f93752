package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// namedError is an error with a TypeName method.
type namedError struct{ Figure int }

func (e *namedError) Error() string    { return "named" }
func (e *namedError) TypeName() string { return "planner.NamedError" }

func TestTypeNamePrefersTypeNameMethod(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{name: "TypeName method", err: &namedError{}, want: "planner.NamedError"},
		{name: "TypeName method of a wrapped error", err: fmt.Errorf("plan: %w", &namedError{}), want: "planner.NamedError"},
		{name: "pointer type", err: &http.MaxBytesError{}, want: "http.MaxBytesError"},
		{name: "type of package errors", err: errors.New("text"), want: "errors.errorString"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := typeName(c.err); got != c.want {
				t.Errorf("type name %q, want %q", got, c.want)
			}
		})
	}
}

func TestWriteJSONWritesStatusContentTypeAndBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		value  any
		body   string
	}{
		{name: "value", status: http.StatusOK, value: map[string]int{"moves": 2}, body: `{"moves":2}` + "\n"},
		{
			name: "error with its fields", status: http.StatusConflict, value: newErrorResponse(&namedError{Figure: 3}),
			body: `{"type":"planner.NamedError","error":"named","found":{"Figure":3}}` + "\n",
		},
		{
			name: "error without fields", status: http.StatusNotFound, value: errorResponse{Message: "none"},
			body: `{"type":"","error":"none"}` + "\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			writeJSON(recorder, c.status, c.value)
			response := recorder.Result()
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.status || string(body) != c.body {
				t.Errorf("status %d with %q, want %d with %q", response.StatusCode, body, c.status, c.body)
			}
			if got := response.Header.Get("Content-Type"); got != "application/json" {
				t.Errorf("content type %q, want application/json", got)
			}
		})
	}
}
