//go:build race

package gateway

// searchChecks is how many sequences TestCrossings plays by itself. The race detector's runtime failed once in some ten
// runs of 800 ("CHECK failed: tsan_rtl.cpp:346"), a fault of its own with so many goroutines, so it sees few.
const searchChecks = "25"
