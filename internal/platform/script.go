package platform

// Script says which calls of a process fail, and when. It takes effect only in a build with the tag faultinjection.
// Such a build reads it as JSON from the environment variable GW_FAULTS.
type Script struct {
	WallOffsetMS int64  `json:"wall_offset_ms"` // how far the wall clock is ahead
	Rules        []Rule `json:"rules"`
}

// Rule makes one kind of call fail, or limits the bytes that it transfers, for a period of time.
type Rule struct {
	Call     Call    `json:"call"`
	Errno    int     `json:"errno"`      // 0: the call does not fail
	MaxBytes int     `json:"most_bytes"` // 0: no limit
	FromMS   int64   `json:"from_ms"`    // start of the period, counted from the start of the process
	ToMS     int64   `json:"to_ms"`      // end of the period, exclusive
	Chance   float64 `json:"chance"`     // probability that the rule applies to a call
}
