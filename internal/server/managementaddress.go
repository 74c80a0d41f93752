package server

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ManagementAddressError is returned if the process can't listen on the address of the admin API.
type ManagementAddressError struct{ Err error }

// Error returns a message of one line. If the address is in use, it states how to resolve that.
func (e *ManagementAddressError) Error() string {
	if errors.Is(e.Err, syscall.EADDRINUSE) {
		return fmt.Sprintf("configuration: management: a process that replaces another needs an address of its own: %v", e.Err)
	}
	return fmt.Sprintf("configuration: management: %v", e.Err)
}

// Unwrap returns the error of the system call.
func (e *ManagementAddressError) Unwrap() error { return e.Err }

// CheckManagementAddress checks that the process can listen on the address of the admin API. It does nothing if the
// address is empty. It returns a [*ManagementAddressError] if listening fails.
func CheckManagementAddress(address string) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &ManagementAddressError{err}
	}
	return listener.Close()
}
