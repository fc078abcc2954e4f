package gateway

import "sync/atomic"

// Each part of the gateway that holds bytes for others may use a fraction of the memory limit. All parts together take at
// most 45/64 of it. That is over the soft limit of the Go runtime, which then collects garbage more often.
const (
	commandMemoryDivisor    = 4  // commands, from when they are parsed to the final answers
	unsentMemoryDivisor     = 8  // answers that are written to clients and not accepted yet
	readBufferMemoryDivisor = 16 // read buffers of clients, beyond smallReadBuffer each
	serverMemoryDivisor     = 16 // long answers of servers, until the loop handles them
	customerMemoryDivisor   = 8  // the customers that the decision engine knows
	spentIDMemoryDivisor    = 64 // ids of requests that must not run twice
	heldMemoryDivisor       = 16 // answers that are ready and wait for an earlier one on their connection
)

// commandOverhead is reserved for each request in addition to its arguments, for its timers and its entries in tables,
// in bytes.
const commandOverhead = 1 << 10

// answerOverhead is reserved for each answer that is held, in addition to its bytes, for its place in the order of answers.
const answerOverhead = 96

// byteBudget bounds the bytes that a part of the gateway holds. Reserving never blocks: whoever gets no bytes refuses
// the work or tries again later. It is safe for concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// tryReserve reserves n bytes, unless the budget would be exceeded.
func (b *byteBudget) tryReserve(n int) bool { return b.tryReserveUpTo(n, b.limit) }

// tryReserveUpTo reserves n bytes, unless more than limit would then be in use.
func (b *byteBudget) tryReserveUpTo(n int, limit int64) bool {
	for {
		used := b.used.Load()
		if used+int64(n) > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

// reserve reserves n bytes, also if that exceeds the budget.
func (b *byteBudget) reserve(n int) { b.used.Add(int64(n)) }

// hasRoom reports whether n more bytes are within the budget.
func (b *byteBudget) hasRoom(n int) bool { return b.used.Load()+int64(n) <= b.limit }

// release returns n bytes that were reserved.
func (b *byteBudget) release(n int) { b.used.Add(int64(-n)) }

// inUse returns how many bytes are reserved.
func (b *byteBudget) inUse() int { return int(b.used.Load()) }

// memoryBudgets are the budgets of a gateway.
type memoryBudgets struct {
	commands    byteBudget
	readBuffers byteBudget
	// readers that wait for memory of readBuffers
	readBufferWaits atomic.Int32
	serverAnswers   byteBudget
	heldAnswers     byteBudget
}

// newMemoryBudgets divides a memory limit, in MB.
func newMemoryBudgets(memoryMB int) *memoryBudgets {
	limit := int64(memoryMB) << 20
	return &memoryBudgets{
		commands:      byteBudget{limit: limit / commandMemoryDivisor},
		readBuffers:   byteBudget{limit: limit / readBufferMemoryDivisor},
		serverAnswers: byteBudget{limit: limit / serverMemoryDivisor},
		heldAnswers:   byteBudget{limit: limit / heldMemoryDivisor},
	}
}
