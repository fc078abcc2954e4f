//go:build !faultinjection

package platform

import "time"

// InjectedError returns the error with which a call must fail, or nil. In this build it is always nil.
func InjectedError(Call) error { return nil }

// LimitBytes returns how many of n bytes a call may transfer. In this build it is always n.
func LimitBytes(_ Call, n int) int { return n }

func truncate(_ Call, data []byte) []byte { return data }

func wallOffset() time.Duration { return 0 }
