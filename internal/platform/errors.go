package platform

import (
	"errors"
	"syscall"
)

// transientErrors lists the errors by which a system call reports that a local resource is exhausted now but may be
// available again soon. They come from the manual pages of socket, bind, listen, accept, connect, send, recv, open and
// read. None of them says anything about the other end of a connection.
var transientErrors = []error{syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL}

// IsTransient reports whether an error is a transient resource exhaustion of this machine. An exceeded deadline is not.
func IsTransient(err error) bool { return isAny(err, transientErrors) }

// IsAddressInUse reports whether an address can't be bound because another process still uses it.
func IsAddressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// IsUnreachable reports whether the other end could not be reached over the network. Either this machine has no route
// at the moment, or the other end is disconnected.
func IsUnreachable(err error) bool {
	return isAny(err, []error{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN})
}

// IsTransientReadError reports whether reading a file failed for a reason that may be gone at the next attempt.
func IsTransientReadError(err error) bool { return IsTransient(err) || errors.Is(err, syscall.EIO) }

func isAny(err error, list []error) bool {
	for _, e := range list {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
