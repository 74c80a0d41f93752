package server

import (
	"errors"
	"fmt"
	"maps"

	"woodproxy/internal/settings"

	"github.com/valyala/fastjson"
)

// readShadowSettings reads the settings of the shadow balancer: those of the document, merged with the object under watch,
// which overrides some of them. It returns nil if there is no such object. Routes, tenants, zones and the kind of the origin
// must be the same as in the active settings, in the same order, because the shadow balancer receives the same requests,
// which refer to them by index. The merge modifies the settings in the document.
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
			return nil, fmt.Errorf("setup %s: differs from the settings", part.name)
		}
	}
	return shadow, nil
}

// mergeObject sets each key of override in target. If both hold an object for a key, these are merged recursively.
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
