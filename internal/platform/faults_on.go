//go:build faultinjection

package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// ScriptVariable names the environment variable that holds the Script of a process, as JSON.
const ScriptVariable = "GW_FAULTS"

// started is the start of the process. Rule.FromMS and Rule.ToMS count from it.
var started = time.Now()

// script returns the Script of the process. It is loaded at the first use and does not change.
var script = sync.OnceValue(loadScript)

func loadScript() Script {
	var s Script
	text := os.Getenv(ScriptVariable)
	if text == "" {
		return s
	}
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		fmt.Fprintln(os.Stderr, ScriptVariable+":", err)
		os.Exit(2)
	}
	return s
}

// active returns the first rule for call that is in force now and is selected by its chance, or nil.
func active(call Call) *Rule {
	rules := script().Rules
	elapsed := time.Since(started).Milliseconds()
	for i := range rules {
		rule := &rules[i]
		if rule.Call == call && rule.FromMS <= elapsed && elapsed < rule.ToMS && rand.Float64() < rule.Chance {
			return rule
		}
	}
	return nil
}

// InjectedError returns the error with which call must fail, or nil.
func InjectedError(call Call) error {
	rule := active(call)
	if rule == nil || rule.Errno == 0 {
		return nil
	}
	return syscall.Errno(rule.Errno)
}

// LimitBytes returns how many of n bytes call may transfer.
func LimitBytes(call Call, n int) int {
	rule := active(call)
	if rule == nil || rule.MaxBytes == 0 {
		return n
	}
	return min(n, rule.MaxBytes)
}

// truncate returns the part of data that call may transfer.
func truncate(call Call, data []byte) []byte { return data[:LimitBytes(call, len(data))] }

// wallOffset returns how far the wall clock of the process is ahead.
func wallOffset() time.Duration { return time.Duration(script().WallOffsetMS) * time.Millisecond }
