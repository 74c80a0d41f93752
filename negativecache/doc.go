// Package negativecache caches the keys that are known to be absent at the origin, so that a proxy can reply to a
// request for such a key without a fetch.
//
// A [Table] holds the absent keys, by hash. It serves lookups and records writes, on any goroutine. A [Cache] decides
// for one proxy which reports of other proxies to accept, which reports to send to them, and whether absent keys may be
// served. It is used by a single goroutine, starts no goroutines, does no I/O and depends only on its inputs: the same
// calls lead to the same decisions.
//
// An absent key is served for the configured TTL after the origin reported it, only while every proxy that may write
// is reachable and its reports of written keys arrive, and never after a write that this proxy has recorded. When a
// report may have been lost, the table is flushed.
//
// Locks: each lock stripe of a Table has its own mutex. While it is held, no other lock is acquired and no code of the
// caller runs. Counters are atomic. Nothing else is locked.
package negativecache
