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

// started is when the process began, which the times of a script count from.
var started = time.Now()

// script is read at the first use and does not change.
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

// active returns the first rule on a call that applies now and is drawn, or nil.
func active(call Call) *Rule {
	rules := script().Rules
	since := time.Since(started).Milliseconds()
	for i := range rules {
		rule := &rules[i]
		if rule.Call == call && rule.FromMS <= since && since < rule.ToMS && rand.Float64() < rule.Chance {
			return rule
		}
	}
	return nil
}

// Fault returns the error that a call is to fail with, or nil.
func Fault(call Call) error {
	rule := active(call)
	if rule == nil || rule.Errno == 0 {
		return nil
	}
	return syscall.Errno(rule.Errno)
}

// Limit returns how many of n bytes a call may move.
func Limit(call Call, n int) int {
	rule := active(call)
	if rule == nil || rule.MostBytes == 0 {
		return n
	}
	return min(n, rule.MostBytes)
}

// cut shortens what a call returned.
func cut(call Call, data []byte) []byte { return data[:Limit(call, len(data))] }

func wallOffset() time.Duration { return time.Duration(script().WallOffsetMS) * time.Millisecond }
