// Package negativecache is a cache of keys that are known to be absent at the origin, so that a proxy can answer a
// request for such a key without a fetch.
//
// A [Table] holds the absent keys, by hash. It answers lookups and records writes on any goroutine. Around it, one
// cache per proxy decides which of the other proxies' reports to accept, which reports to send to them, and whether
// the table may answer at all. It does so on a single goroutine, starts none, does no I/O and depends on nothing but
// its inputs: the same calls lead to the same decisions.
//
// An absent key is served for the configured TTL after the origin reported it, only while every proxy that may write
// is reachable and its reports of written keys arrive, and never past a write that this proxy knows of. When a report
// may have been lost, the table is flushed.
//
// Locks: each lock stripe of a Table has a mutex of its own. No other lock is taken and no caller's code runs while
// one is held. Counters are atomic. Everything else is without locks.
package negativecache
