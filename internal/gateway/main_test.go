package gateway

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// ending are the gateways that tests have told to stop. They take half a second and more for it, so that they are
// waited for together.
var ending sync.WaitGroup

// TestMain checks that nothing is left running of any gateway once it has stopped.
func TestMain(m *testing.M) {
	code := m.Run()
	ending.Wait()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, "left running after the tests:", err)
		code = 1
	}
	os.Exit(code)
}
