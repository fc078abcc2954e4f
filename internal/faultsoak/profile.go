package faultsoak

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// The request classes of the soak test, one for each effect.
const (
	ClassSafe   = "look"
	ClassKeyed  = "book"
	ClassUnsafe = "pay"
)

// Profile holds those settings of the gateways' deployment that the oracle needs.
type Profile struct {
	Gateways     int
	DedupWindow  time.Duration  // of the keyed class: within it, the servers of a cell drop repeats of a request
	Deadline     time.Duration  // longest deadline of all classes
	DrainGrace   time.Duration  // for attempts to a card server after a gateway was informed that it drains
	ColdFrom     float64        // share of the full capacity at the beginning of slow start
	ColdFor      time.Duration  // length of slow start
	FallMultiple float64        // N of RuleSlowStart, as a multiple of what the capacity allows in FallWindow
	FallWindow   time.Duration  // in which the requests to a server in slow start are counted
	ServerRate   float64        // requests per second that a warm card server can serve
	Cells        map[string]int // by server
}

// drawProfile draws a random deployment, because capacities and limits differ widely between sites.
func drawProfile(rng *rand.Rand, gateways int) Profile {
	return Profile{
		Gateways:     gateways,
		DedupWindow:  time.Duration(400+rng.IntN(600)) * time.Millisecond,
		Deadline:     time.Duration(1200+rng.IntN(1200)) * time.Millisecond,
		DrainGrace:   250 * time.Millisecond,
		ColdFrom:     []float64{0.08, 0.15, 0.3}[rng.IntN(3)],
		ColdFor:      time.Duration(6+rng.IntN(8)) * time.Second,
		FallMultiple: []float64{1.3, 2, 4}[rng.IntN(3)],
		FallWindow:   time.Second,
		Cells:        map[string]int{},
	}
}

// wireClass, wirePlan and wireSettings form the settings object that a gateway reads. Their field names are its keys.
type wireClass struct {
	Name, Effect, Group   string
	WindowNs              int64
	AimNs, GiveUpNs       int64
	Importance, LateWorth float64
}

type wirePlan struct {
	Name               string
	Refill, MostAtOnce float64
	Pays               float64
}

type wireSettings struct {
	Classes         []wireClass
	TiersOfService  []wirePlan
	Instances, Rank int
	Zone            string
	Extra           struct{ PeerIntake, UnitsTop float64 }
	Limits          struct {
		SendCap                                       int
		MayCancel, ParallelTries, Peers, RetryAfter   bool
		MaxRetryAfterNs, ConnectTimeoutNs, ConnIdleNs int64
		OpenCap                                       int
	}
	Safety struct {
		ColdNs, FallNs, DrainGraceNs, AnswerSlackNs int64
		FallMultiple, ColdFrom                      float64
	}
	Prices struct{ Handshake float64 }
}

// encodeSettings returns the encoded settings object for the gateway with the given rank.
func (p Profile) encodeSettings(rank int) json.RawMessage {
	deadline := p.Deadline.Nanoseconds()
	s := wireSettings{Instances: p.Gateways, Rank: rank, Zone: "a"}
	s.Classes = []wireClass{
		{Name: ClassSafe, Effect: "safe", AimNs: deadline * 2 / 3, GiveUpNs: deadline, Importance: 1, LateWorth: 0.2},
		{Name: ClassKeyed, Effect: "keyed", Group: "cell", WindowNs: p.DedupWindow.Nanoseconds(), AimNs: deadline * 2 / 3, GiveUpNs: deadline,
			Importance: 3, LateWorth: 0.2},
		{Name: ClassUnsafe, Effect: "unsafe", AimNs: deadline * 2 / 3, GiveUpNs: deadline, Importance: 3, LateWorth: 0.2},
	}
	s.TiersOfService = []wirePlan{{Name: "basic", Refill: 200, MostAtOnce: 400, Pays: 1}}
	s.Extra.PeerIntake, s.Extra.UnitsTop = 100, 8
	l := &s.Limits
	l.SendCap, l.MayCancel, l.ParallelTries, l.Peers, l.RetryAfter = 4, true, true, true, true
	l.MaxRetryAfterNs, l.ConnectTimeoutNs, l.ConnIdleNs = int64(time.Second), int64(400*time.Millisecond), int64(9*time.Second)
	l.OpenCap = 2000
	s.Safety.ColdNs, s.Safety.FallNs = p.ColdFor.Nanoseconds(), p.FallWindow.Nanoseconds()
	s.Safety.DrainGraceNs, s.Safety.AnswerSlackNs = p.DrainGrace.Nanoseconds(), int64(8*time.Millisecond)
	s.Safety.FallMultiple, s.Safety.ColdFrom = p.FallMultiple, p.ColdFrom
	s.Prices.Handshake = 0.05
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: plain structs
	}
	return raw
}
