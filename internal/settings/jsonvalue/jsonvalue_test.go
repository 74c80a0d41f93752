package jsonvalue_test

import (
	"errors"
	"testing"

	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

func TestReadErrors(t *testing.T) {
	number := func(v *fastjson.Value, presence jsonvalue.Presence) error {
		_, err := jsonvalue.Number(v, presence)
		return err
	}
	text := func(v *fastjson.Value, presence jsonvalue.Presence) error {
		_, err := jsonvalue.Text(v, presence)
		return err
	}
	array := func(v *fastjson.Value, presence jsonvalue.Presence) error {
		_, err := jsonvalue.Array(v, presence)
		return err
	}
	flag := func(v *fastjson.Value, _ jsonvalue.Presence) error {
		_, err := jsonvalue.Flag(v)
		return err
	}
	for _, test := range []struct {
		name     string
		read     func(*fastjson.Value, jsonvalue.Presence) error
		object   string
		presence jsonvalue.Presence
		want     error
	}{
		{"number", number, `{"key":1.5}`, jsonvalue.Required, nil},
		{"number absent", number, `{}`, jsonvalue.Optional, nil},
		{"required number absent", number, `{}`, jsonvalue.Required, jsonvalue.ErrMissing},
		{"required number null", number, `{"key":null}`, jsonvalue.Required, jsonvalue.ErrMissing},
		{"number that is a string", number, `{"key":"1"}`, jsonvalue.Optional, jsonvalue.ErrMistyped},
		{"infinite number", number, `{"key":1e999}`, jsonvalue.Required, jsonvalue.ErrMistyped},
		{"text", text, `{"key":"x"}`, jsonvalue.Required, nil},
		{"required text absent", text, `{}`, jsonvalue.Required, jsonvalue.ErrMissing},
		{"text that is a number", text, `{"key":1}`, jsonvalue.Optional, jsonvalue.ErrMistyped},
		{"array", array, `{"key":[]}`, jsonvalue.Required, nil},
		{"required array absent", array, `{}`, jsonvalue.Required, jsonvalue.ErrMissing},
		{"array that is an object", array, `{"key":{}}`, jsonvalue.Optional, jsonvalue.ErrMistyped},
		{"flag", flag, `{"key":true}`, jsonvalue.Optional, nil},
		{"flag absent", flag, `{}`, jsonvalue.Optional, nil},
		{"flag that is a number", flag, `{"key":1}`, jsonvalue.Optional, jsonvalue.ErrMistyped},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.read(fastjson.MustParse(test.object).Get("key"), test.presence); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
