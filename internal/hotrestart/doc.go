// Package hotrestart passes the client listener and the endpoint list from a running process to its successor, so that no
// connection in the accept queue of the listener is lost while the program is replaced.
//
// The two processes communicate over a Unix socket in a shared directory. The name of the socket depends on the address that
// clients connect to. The running process (the predecessor) accepts connections on the socket, and the new process (the
// successor) connects to it. They exchange three messages of one line each:
//
//	successor:   hello, JSON with the protocol version and the client address
//	predecessor: offer, a hello with the endpoint list; the descriptor of the listener is passed with its first byte
//	successor:   "serving", once it accepts clients
//
// The connection then stays open while both processes run. Where the hello and the offer both have the key "executed", each
// process sends the other one a line "executed HASH" for each request that must not run twice, before it sends the request to
// a server: HASH is the hash of the request's id, in 16 hexadecimal digits. A new successor is sent those of the last minute.
// The lines may come before and after "serving". Each process detects the exit of the other by the end of the connection,
// which the kernel also closes for a process that was killed.
//
// The two processes may run different versions of the program, so the messages must not change without a new protocol
// version. Unknown keys are skipped. A message that is malformed, late, of another protocol version, for another address or
// from a process of another user is refused with an error, and the program is then replaced without a hot restart: the new
// process opens a listener of its own.
package hotrestart
