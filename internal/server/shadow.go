package server

import (
	"errors"
	"fmt"
	"maps"

	"woodproxy/internal/settings"

	"github.com/valyala/fastjson"
)

// readShadowSettings reads the settings merged with the object under watch, which replaces some of them; it returns
// nil where there is no such object. Routes, tenants, zones and the origin's kind have to be the same ones in the same
// order, since the shadow balancer is given the same requests by their indices. The settings in the document are
// changed by the merge.
func readShadowSettings(document *fastjson.Value, active *settings.Settings) (*settings.Settings, error) {
	override := document.Get("watch")
	if isNull(override) {
		return nil, nil
	}
	if override.Type() != fastjson.TypeObject {
		return nil, errors.New("mistyped")
	}
	merged := document.Get("settings")
	mergeObject(merged, override)
	shadow, err := settings.Read(merged)
	if err != nil {
		return nil, err
	}
	for _, part := range []struct {
		name  string
		equal bool
	}{
		{"routes", maps.Equal(shadow.Routes, active.Routes)},
		{"tenants", maps.Equal(shadow.Tenants, active.Tenants)},
		{"zones", maps.Equal(shadow.Zones, active.Zones)},
		{"family-info.origin-kind", shadow.OriginKind == active.OriginKind},
	} {
		if !part.equal {
			return nil, fmt.Errorf("setup %s: not those of the settings", part.name)
		}
	}
	return shadow, nil
}

// mergeObject sets each key of override in target; where both hold an object, these are merged in turn.
func mergeObject(target, override *fastjson.Value) {
	override.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		existing := target.Get(string(key))
		if existing != nil && existing.Type() == fastjson.TypeObject && value.Type() == fastjson.TypeObject {
			mergeObject(existing, value)
			return
		}
		target.Set(string(key), value)
	})
}
