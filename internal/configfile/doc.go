// Package configfile decodes the configuration files of the proxy and of its tools, and checks the values that were read.
//
// Decoding is strict: a key that no field takes and a value of the wrong type are errors. Each error is one line that names
// the key at fault, since it is what an operator sees when the program refuses to start or to reload.
//
// The package holds no state; all of it may be used from any goroutine.
package configfile
