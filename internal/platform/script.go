package platform

// Script says which calls of a process fail, and when. It takes effect in a build with the tag faultinjection only, where
// the environment variable GW_FAULTS holds it as JSON.
type Script struct {
	WallOffsetMS int64  `json:"wall_offset_ms"` // the wall clock is so far ahead
	Rules        []Rule `json:"rules"`
}

// Rule makes one kind of call fail, or move few bytes, for a while.
type Rule struct {
	Call      Call    `json:"call"`
	Errno     int     `json:"errno"`      // 0: the call does not fail
	MostBytes int     `json:"most_bytes"` // 0: no limit
	FromMS    int64   `json:"from_ms"`    // since the process began
	ToMS      int64   `json:"to_ms"`
	Chance    float64 `json:"chance"` // of each call
}
