package platform

import (
	"errors"
	"syscall"
)

// transient are the errors by which a system call says that the machine lacks something now and may have it in a moment.
// The manual pages of socket, bind, listen, accept, connect, send, recv, open and read list them. None of them says
// anything of the other end of a connection.
var transient = []error{syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL}

// IsTransient reports whether an error is a passing want of this machine. Deadlines that have passed are not.
func IsTransient(err error) bool { return isAny(err, transient) }

// IsAddressHeld reports whether an address can't be had now because another process still has it.
func IsAddressHeld(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// IsUnreachable reports whether there was no way to the other end. That may be for want of a route on this machine, for a
// moment, or because the other end is cut off.
func IsUnreachable(err error) bool {
	return isAny(err, []error{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN})
}

// IsReadFault reports whether reading a file failed for a reason that may pass.
func IsReadFault(err error) bool { return IsTransient(err) || errors.Is(err, syscall.EIO) }

func isAny(err error, list []error) bool {
	for _, e := range list {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
