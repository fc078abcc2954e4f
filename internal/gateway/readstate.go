package gateway

import "sync/atomic"

// readState says how far the connection of a client is still read. It only moves forward.
type readState int32

const (
	readNormal    readState = iota // as long as the client stays connected
	readUntilIdle                  // until no answer is pending and no input waits
	// The process is to end: likewise, or until the client is too slow; requests beyond the limit of pending answers, and
	// those of slow or unseen clients, are refused.
	readRefuseExcess
	readToEnd   // until no input waits; all requests are refused
	readStopped // nothing, even if a command is partial; complete commands are processed
)

// atomicReadState shares a connection's readState between the loop, which sets it, and the connection's reader.
type atomicReadState struct{ value atomic.Int32 }

// load returns the current state.
func (r *atomicReadState) load() readState { return readState(r.value.Load()) }

// advance moves to a later state; an earlier one has no effect. Only the loop may call it.
func (r *atomicReadState) advance(state readState) { r.value.Store(int32(max(r.load(), state))) }
