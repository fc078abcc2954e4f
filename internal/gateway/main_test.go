package gateway

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// stoppingGateways waits for the gateways that tests have stopped. Each takes half a second or more to stop, so
// TestMain waits for all of them together.
var stoppingGateways sync.WaitGroup

// TestMain checks that no goroutine of a gateway is left running after all gateways have stopped.
func TestMain(m *testing.M) {
	code := m.Run()
	stoppingGateways.Wait()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, "goroutines left running after the tests:", err)
		code = 1
	}
	os.Exit(code)
}
