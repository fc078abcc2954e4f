package main

import "time"

// The names in the settings of a small deployment.
const (
	classSafe   = "balance-check"
	classUnsafe = "redeem"
	planBasic   = "basic"
	planFull    = "full"
)

// defaultSettings returns settings with the figures of the wire note's example.
func defaultSettings() map[string]any {
	ns := func(d time.Duration) int64 { return int64(d) }
	class := func(name, effect string, importance, lateWorth float64) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "Group": "all", "AimNs": ns(1200 * time.Millisecond),
			"GiveUpNs": ns(4 * time.Second), "WindowNs": ns(5 * time.Second), "Importance": importance,
			"LateWorth": lateWorth, "Stream": false}
	}
	return map[string]any{
		"Classes": []any{class(classSafe, "safe", 1, 0), class(classUnsafe, "unsafe", 3, 0.2)},
		"Extra":   map[string]any{"CostAfter": false, "HasCounter": false, "PeerIntake": 100.0, "UnitsTop": 8},
		"Limits": map[string]any{"ConnIdleNs": ns(30 * time.Second), "ConnectTimeoutNs": ns(250 * time.Millisecond),
			"MaxRetryAfterNs": ns(time.Second), "MayCancel": true, "OpenCap": 27150, "ParallelTries": true, "Peers": true,
			"Probes": true, "RetryAfter": false, "SendCap": 4, "StreamsPerConn": 32},
		"MembershipMode": "automatic",
		"Prices":         map[string]any{"CrossZone": 0.01, "LateFail": 0.08, "Peer": 0.01, "Probe": 0.01, "Waste": 0.058},
		"Safety": map[string]any{"AnswerSlackNs": ns(8 * time.Millisecond), "AskWithinNs": ns(10 * time.Second),
			"ColdFrom": 0.18, "ColdNs": ns(16 * time.Second), "DrainGraceNs": ns(250 * time.Millisecond),
			"FallMultiple": 4.0, "FallNs": ns(time.Second)},
		"Telemetry":      map[string]any{"Fields": []any{}, "How": "none"},
		"Tier":           0,
		"Tiers":          []any{"card-servers"},
		"TiersOfService": []any{basicPlan(), fullPlan()},
		"WeightSource":   "rough",
		"Zone":           "hall-a",
		"Zones":          []any{"hall-a", "hall-b"},
	}
}

func basicPlan() map[string]any {
	return map[string]any{"Name": planBasic, "Refill": 2.1, "MostAtOnce": 16.0, "NeverOverRate": 0.0,
		"NeverOverDepth": 0.0, "HardSlack": 0.0, "Parallel": 0, "Pays": 1.2, "BeyondEarns": 0.0, "ExcessCost": 1.2}
}

func fullPlan() map[string]any {
	return map[string]any{"Name": planFull, "Refill": 9.7, "MostAtOnce": 32.0, "NeverOverRate": 17.0,
		"NeverOverDepth": 55.0, "HardSlack": 8.0, "Parallel": 0, "Pays": 1.6, "BeyondEarns": 0.0, "ExcessCost": 1.2}
}
