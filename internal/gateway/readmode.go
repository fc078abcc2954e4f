package gateway

import "sync/atomic"

// readMode says how far a connection of a client is still read.
type readMode int32

const (
	readOn     readMode = iota // for as long as the client stays
	readToRest                 // until nothing is owed and nothing waits; of a client that is slow to take what it is owed, only what has begun
	readAll                    // the same, and commands are handed on however much is owed: they are refused at once
	readNoMore                 // what has been read whole is handed on, and nothing more is read
)

// readLimit holds the mode of a connection between the loop, which sets it, and the connection's reader.
type readLimit struct{ mode atomic.Int32 }

// get returns the mode.
func (r *readLimit) get() readMode { return readMode(r.mode.Load()) }

// raise sets a mode, unless a later one is set already. Only the loop may call it.
func (r *readLimit) raise(to readMode) { r.mode.Store(int32(max(r.get(), to))) }
