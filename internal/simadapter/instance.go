package simadapter

import (
	"fmt"

	"woodproxy/balancer"
	"woodproxy/internal/settings"

	"github.com/valyala/fastjson"
)

// boot starts an instance from its settings, under which it knows nothing of an earlier one.
func (h *host) boot(_ *proxy, f *fields, who int) []balancer.Decision {
	seed := f.number(1, "salt", need)
	salt := uint64(0)
	if f.err == nil {
		if u, err := f.at(1).Uint64(); err == nil {
			salt = u
		} else {
			salt = uint64(int64(seed))
		}
	}
	v := f.at(2)
	if v == nil || v.Type() != fastjson.TypeObject {
		f.fail("setup", "missing or mistyped")
		return nil
	}
	book, err := settings.Read(v)
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("boot: %w", err)
	}
	if f.err != nil {
		return nil
	}
	h.proxies[who] = &proxy{
		book: book, mind: balancer.New(h.now, book.Terms, salt), nodes: map[string]int{},
		codes: map[string]int{}, trays: map[string]int{},
	}
	return nil
}
