// Package settings parses the settings object that a gateway gets when it starts. The simulator sends it in its first
// message, and a real gateway has it in its configuration file. The format is the same.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"winghatch/decide"
)

// wire is the JSON form of decide.Config. Its field names are the keys; unknown keys are ignored.
type wire struct {
	Classes []struct {
		Name, Effect, Group               string
		AimNs, GiveUpNs, WindowNs         int64
		AimStretch, Importance, LateWorth float64
		Stream                            bool
	}
	TiersOfService []struct {
		Name                                     string
		Refill, MostAtOnce                       float64
		NeverOverRate, NeverOverDepth, HardSlack float64
		Parallel                                 int
		Pays, BeyondEarns, ExcessCost            float64
	}
	Extra struct {
		HasCounter, CostAfter              bool
		CounterPrice, PeerIntake, UnitsTop float64
		CountWaitNs, MeterNs               int64
	}
	Limits struct {
		SendCap                                             int
		ParallelTries, MayCancel, Peers, Probes, RetryAfter bool
		MaxRetryAfterNs, ConnectTimeoutNs, ConnIdleNs       int64
		OpenCap                                             int
	}
	Safety struct {
		AnswerSlackNs, DrainGraceNs, ColdNs, FallNs, AskWithinNs int64
		ColdFrom, FallMultiple                                   float64
	}
	Prices struct {
		CrossZone, Waste, Probe, Peer, LateFail, Handshake float64
	}
	Telemetry            struct{ How string }
	Rank, Instances      int
	MembershipMode, Zone string
}

// Settings is the configuration of a program that runs the decision engine.
type Settings struct {
	Decide  decide.Config
	OpenCap int // maximum number of open requests; 0: no limit
}

// idleDivisor divides the time after which servers close an idle connection at the latest. The gateway closes an idle
// connection after the quotient, because a request that is sent while the server closes the connection would end as a
// reset.
const idleDivisor = 3

// NameField returns err with the name of the field that could not be decoded, if err holds that name.
func NameField(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("field %q: cannot hold a JSON %s", t.Field, t.Value)
	}
	return err
}

// Parse parses a settings object and checks the limits of this package. decide.New checks the rest.
func Parse(raw json.RawMessage) (Settings, error) {
	var s wire
	if err := json.Unmarshal(raw, &s); err != nil {
		return Settings{}, NameField(err)
	}
	if err := s.check(); err != nil {
		return Settings{}, err
	}
	c, err := s.config()
	return Settings{Decide: c, OpenCap: s.Limits.OpenCap}, err
}

// Limits of the settings. With values beyond them a gateway would start, but then run out of memory or serve no
// requests.
const (
	maxInstances      = 1 << 16
	maxTiersWithPeers = 64                   // only with peers: messages between gateways identify a tier by one digit
	maxDuration       = 366 * 24 * time.Hour // a duration added to the present must not overflow
)

// check returns an error if a setting exceeds its limit, or if two classes or two tiers have the same name.
func (s *wire) check() error {
	if s.Instances > maxInstances {
		//lint:ignore ST1005 the text begins with the name of a settings field
		return fmt.Errorf("Instances is %d, want %d at most", s.Instances, maxInstances)
	}
	if s.Limits.Peers && len(s.TiersOfService) > maxTiersWithPeers {
		return fmt.Errorf("TiersOfService has %d entries, want %d at most", len(s.TiersOfService), maxTiersWithPeers)
	}
	if s.Extra.UnitsTop != 0 && s.Extra.UnitsTop < 1 {
		return fmt.Errorf("Extra.UnitsTop is %v, want 0 or 1 and more", s.Extra.UnitsTop)
	}
	times := []durationField{{"Extra.CountWaitNs", s.Extra.CountWaitNs}, {"Extra.MeterNs", s.Extra.MeterNs},
		{"Limits.MaxRetryAfterNs", s.Limits.MaxRetryAfterNs}, {"Limits.ConnectTimeoutNs", s.Limits.ConnectTimeoutNs},
		{"Limits.ConnIdleNs", s.Limits.ConnIdleNs}, {"Safety.AnswerSlackNs", s.Safety.AnswerSlackNs},
		{"Safety.DrainGraceNs", s.Safety.DrainGraceNs}, {"Safety.ColdNs", s.Safety.ColdNs},
		{"Safety.FallNs", s.Safety.FallNs}, {"Safety.AskWithinNs", s.Safety.AskWithinNs}}
	names := map[string]bool{}
	for i, class := range s.Classes {
		prefix := fmt.Sprintf("Classes[%d].", i)
		times = append(times, durationField{prefix + "AimNs", class.AimNs},
			durationField{prefix + "GiveUpNs", class.GiveUpNs}, durationField{prefix + "WindowNs", class.WindowNs})
		if names[class.Name] {
			return fmt.Errorf("%sName: %q comes twice", prefix, class.Name)
		}
		names[class.Name] = true
	}
	for _, t := range times {
		if t.ns < 0 || t.ns > int64(maxDuration) {
			return fmt.Errorf("%s is %d, want 0 to %d", t.field, t.ns, int64(maxDuration))
		}
	}
	clear(names)
	for i, tier := range s.TiersOfService {
		if names[tier.Name] {
			return fmt.Errorf("TiersOfService[%d].Name: %q comes twice", i, tier.Name)
		}
		names[tier.Name] = true
	}
	return nil
}

// durationField is a duration with the name of its settings field.
type durationField struct {
	field string
	ns    int64
}

// config converts the settings to a decide.Config.
func (s *wire) config() (decide.Config, error) {
	c := decide.Config{Rank: s.Rank, Gateways: s.Instances, Zone: s.Zone, SettledLater: s.Extra.CostAfter,
		MaxUnits: s.Extra.UnitsTop, MeterPeriod: time.Duration(s.Extra.MeterNs), PeerIntake: s.Extra.PeerIntake,
		Counter: s.Extra.HasCounter, CounterTimeout: time.Duration(s.Extra.CountWaitNs),
		ReportsOnProbe: s.Telemetry.How == "probe", Subscribe: s.MembershipMode == "subscribe"}
	c.Limits = decide.Limits{MaxAttempts: s.Limits.SendCap, Parallel: s.Limits.ParallelTries,
		Cancel: s.Limits.MayCancel, Peers: s.Limits.Peers, Probes: s.Limits.Probes,
		RetryAfter: s.Limits.RetryAfter, MaxRetryAfter: time.Duration(s.Limits.MaxRetryAfterNs),
		ConnectTimeout: time.Duration(s.Limits.ConnectTimeoutNs),
		ConnKept:       time.Duration(s.Limits.ConnIdleNs) / idleDivisor}
	c.Safety = decide.Safety{AnswerSlack: time.Duration(s.Safety.AnswerSlackNs),
		DrainGrace: time.Duration(s.Safety.DrainGraceNs), ColdFrom: s.Safety.ColdFrom,
		ColdFor: time.Duration(s.Safety.ColdNs), FallMultiple: s.Safety.FallMultiple,
		FallWindow: time.Duration(s.Safety.FallNs), AskWithin: time.Duration(s.Safety.AskWithinNs)}
	c.Prices = decide.Prices{CrossZone: s.Prices.CrossZone, Waste: s.Prices.Waste, Probe: s.Prices.Probe,
		Peer: s.Prices.Peer, LateFail: s.Prices.LateFail, Handshake: s.Prices.Handshake, Counter: s.Extra.CounterPrice}
	effects := map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}
	groups := map[string]decide.Group{"all": decide.GroupAll, "zone": decide.GroupZone,
		"cell": decide.GroupCell, "": decide.GroupCell}
	for i, class := range s.Classes {
		effect, ok := effects[class.Effect]
		if !ok {
			return c, fmt.Errorf("Classes[%d].Effect: unknown %q", i, class.Effect)
		}
		group, ok := groups[class.Group]
		if !ok {
			return c, fmt.Errorf("Classes[%d].Group: unknown %q", i, class.Group)
		}
		c.Classes = append(c.Classes, decide.Class{Name: class.Name, Effect: effect, Group: group,
			Window: time.Duration(class.WindowNs), Aim: time.Duration(class.AimNs), AimStretch: class.AimStretch,
			Deadline: time.Duration(class.GiveUpNs), Worth: class.Importance, LateWorth: class.LateWorth, Stream: class.Stream})
	}
	for _, tier := range s.TiersOfService {
		c.Plans = append(c.Plans, decide.Plan{Name: tier.Name, Rate: tier.Refill, Burst: tier.MostAtOnce,
			CeilingRate: tier.NeverOverRate, CeilingBurst: tier.NeverOverDepth, CeilingSlack: tier.HardSlack,
			MaxOpen: tier.Parallel, Price: tier.Pays, OverWorth: tier.BeyondEarns, OverCost: tier.ExcessCost})
	}
	return c, nil
}
