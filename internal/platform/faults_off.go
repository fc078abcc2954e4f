//go:build !faultinjection

package platform

import "time"

// Fault returns the error that a call is to fail with, or nil. It is nil in this build.
func Fault(Call) error { return nil }

// Limit returns how many of n bytes a call may move. It is n in this build.
func Limit(_ Call, n int) int { return n }

func cut(_ Call, data []byte) []byte { return data }

func wallOffset() time.Duration { return 0 }
