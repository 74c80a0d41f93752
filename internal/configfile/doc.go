// Package configfile decodes the configuration files of the proxy and its tools, and checks the decoded values.
//
// Decoding is strict: an unknown key and a value of the wrong type are errors. Each error is one line that names the invalid
// key, since it is the message that an operator sees when the program refuses to start or to reload.
//
// The package holds no state. All functions may be called from any goroutine.
package configfile
