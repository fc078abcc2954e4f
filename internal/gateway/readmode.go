package gateway

import "sync/atomic"

// readMode says how far a connection of a client is still read.
type readMode int32

const (
	readOn     readMode = iota // for as long as the client stays
	readToRest                 // until nothing is owed and nothing waits, or the client is slow to take what it is owed
	readBegun                  // to the end of a command that has begun; all are handed on, however much is owed
	readNoMore                 // nothing more, also where a command has begun; those that are whole are handed on
)

// readLimit holds the mode of a connection between the loop, which sets it, and the connection's reader.
type readLimit struct{ mode atomic.Int32 }

// get returns the mode.
func (r *readLimit) get() readMode { return readMode(r.mode.Load()) }

// raise sets a mode, unless a later one is set already. Only the loop may call it.
func (r *readLimit) raise(to readMode) { r.mode.Store(int32(max(r.get(), to))) }
