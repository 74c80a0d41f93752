// Package hotrestart passes the clients' listener and the endpoint list from a running process to its successor, so that no
// connection in the listener's queue is lost while the program is replaced.
//
// The two processes meet at a Unix socket in a directory that both share; its name depends on the address that clients
// connect to. The running process (the predecessor) accepts there, the new one (the successor) connects. They exchange three
// messages, each of one line:
//
//	successor:   hello, JSON with the protocol's version and the clients' address
//	predecessor: offer, the same with the endpoint list; the listener's descriptor comes with its first byte
//	successor:   "serving", once it accepts clients
//
// The connection then stays open for as long as both processes run. Its end is how each learns that the other has exited,
// however that came about; the kernel closes it also for a process that was killed.
//
// Two versions of the program meet here, so that the messages must not change without a new protocol version. Keys that are
// not known are skipped. Whatever is malformed, late, of another version, for another address or from a process of another
// user is refused with an error, and the restart goes on without it: both processes then listen for themselves.
package hotrestart
