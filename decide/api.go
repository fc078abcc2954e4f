// Package decide makes the decisions of an API gateway that enforces quotas: which requests to admit, which server to
// send a request to, when to retry and when to give up.
//
// A [Gateway] is a plain state machine. The caller owns the clock, the network and the event queue. It calls
// [Gateway.Handle] once for each [Event] and carries out the returned actions in order. The package does no I/O,
// reads no clock, starts no goroutine and keeps no state outside the Gateway: the same configuration, seed and events
// always give the same actions. A Gateway is not safe for concurrent use.
//
// All times are a [time.Duration] since an origin that the caller chooses. They must never run backwards.
package decide

import (
	"fmt"
	"math"
	"time"
)

// Effect says whether a request of a class may run more than once.
type Effect int

// The effects that a class may have.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // servers of one Group drop a repeat within the Window of the class
	Safe                 // may run any number of times
)

// String returns the name of the effect in the settings.
func (e Effect) String() string {
	switch e {
	case Safe:
		return "safe"
	case Keyed:
		return "keyed"
	}
	return "unsafe"
}

// Group says which servers recognise and drop each other's repeats of a keyed request.
type Group int

// The groups of servers.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class describes a kind of request.
type Class struct {
	Name       string
	Effect     Effect
	Group      Group         // for Keyed
	Window     time.Duration // for Keyed: how long servers drop repeats
	Aim        time.Duration // target latency: an answer within this time earns the full Worth
	AimStretch float64       // the target latency grows by this multiple of the work of the request itself
	Deadline   time.Duration // time for which a client waits, over all of its tries
	Worth      float64
	LateWorth  float64 // fraction of Worth that an answer after the target latency earns
	Stream     bool
}

// SameGroup reports whether two servers drop each other's repeats of a keyed request of the class.
func (k *Class) SameGroup(a, b Server) bool {
	switch k.Group {
	case GroupAll:
		return true
	case GroupZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}

// Plan describes the quota that each customer on the plan has, over all gateways together.
type Plan struct {
	Name         string
	Rate         float64 // units a second; 0: no such quota
	Burst        float64 // units at once
	CeilingRate  float64 // hard ceiling, in units a second; 0: none
	CeilingBurst float64
	CeilingSlack float64
	MaxOpen      int // attempts in flight at once; 0: no such quota
	Price        float64
	OverWorth    float64 // fraction of its worth that a request earns if it is sent beyond the quota
	OverCost     float64 // fraction of its worth that such a request costs
}

// Limits says what a gateway may do.
type Limits struct {
	MaxAttempts    int
	Parallel       bool // two attempts of a request may be in flight at once
	Cancel         bool
	Peers          bool
	Probes         bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	ConnKept       time.Duration // how long an idle connection to a server is kept
}

// Safety holds the parameters of the safety rules.
type Safety struct {
	AnswerSlack  time.Duration
	DrainGrace   time.Duration
	ColdFrom     float64       // fraction of its capacity that a server has at least when it has just started
	ColdFor      time.Duration // time after its start by which a server is warm
	FallMultiple float64       // work over this multiple of present capacity for FallWindow makes a server fall over
	FallWindow   time.Duration // see FallMultiple
	AskWithin    time.Duration // with Subscribe: how long a list stays valid without being fetched
}

// Prices are the points deducted from the result for each unit of what the fields name.
type Prices struct {
	CrossZone, Waste, Probe, Peer, LateFail, Counter, Handshake float64
}

// Config is the configuration with which a gateway starts.
type Config struct {
	Rank, Gateways int // number of this gateway, from 0, and number of gateways
	Zone           string
	Classes        []Class
	Plans          []Plan
	SettledLater   bool // the units of a request are an estimate; the answer reports the actual ones
	MaxUnits       float64
	MeterPeriod    time.Duration // 0: no meter
	PeerIntake     float64       // message rate limit: messages from peers a second that a gateway can process
	Counter        bool          // a shared counter may be called
	CounterTimeout time.Duration
	Limits         Limits
	Safety         Safety
	Prices         Prices
	ReportsOnProbe bool // load reports come only with the results of probes
	Subscribe      bool // changes of the list come only if subscribed to
	CustomerMemory int  // bytes that the known customers may take; 0: no limit
}

// finite returns an error unless v is a finite number of 0 or more.
func finite(field string, v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("decide: %s is %v, want a number of 0 or more", field, v)
	}
	return nil
}

// Validate returns an error for the first setting that a gateway cannot work with.
func (c *Config) Validate() error {
	if c.Gateways < 1 {
		return fmt.Errorf("decide: Gateways is %d, want 1 or more", c.Gateways)
	}
	if c.Rank < 0 || c.Rank >= c.Gateways {
		return fmt.Errorf("decide: Rank is %d, want 0 to %d", c.Rank, c.Gateways-1)
	}
	if len(c.Classes) == 0 {
		return fmt.Errorf("decide: Classes is empty, want one or more")
	}
	if c.Limits.MaxAttempts < 1 {
		return fmt.Errorf("decide: Limits.MaxAttempts is %d, want 1 or more", c.Limits.MaxAttempts)
	}
	if c.Safety.ColdFor > 0 && c.Safety.FallWindow <= 0 {
		return fmt.Errorf("decide: Safety.FallWindow is %v, want more than 0", c.Safety.FallWindow)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Safety.ColdFrom", c.Safety.ColdFrom}, {"Safety.FallMultiple", c.Safety.FallMultiple},
		{"PeerIntake", c.PeerIntake}, {"MaxUnits", c.MaxUnits}} {
		if err := finite(f.name, f.v); err != nil {
			return err
		}
	}
	for i, k := range c.Classes {
		if err := k.validate(fmt.Sprintf("Classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, p := range c.Plans {
		if err := p.validate(fmt.Sprintf("Plans[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (k *Class) validate(prefix string) error {
	if k.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", prefix)
	}
	if k.Aim <= 0 {
		return fmt.Errorf("decide: %s.Aim is %v, want more than 0", prefix, k.Aim)
	}
	return finite(prefix+".Worth", k.Worth)
}

func (p *Plan) validate(prefix string) error {
	if p.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", prefix)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Rate", p.Rate}, {"Burst", p.Burst}, {"CeilingRate", p.CeilingRate},
		{"CeilingBurst", p.CeilingBurst}, {"CeilingSlack", p.CeilingSlack}, {"MaxOpen", float64(p.MaxOpen)},
		{"Price", p.Price}, {"OverWorth", p.OverWorth}, {"OverCost", p.OverCost}} {
		if err := finite(prefix+"."+f.name, f.v); err != nil {
			return err
		}
	}
	return nil
}

// Outcome says how an attempt, a probe or a call of the shared counter ended.
type Outcome int

// The outcomes. Full (the server's queue is full), NoConnection and NotSent (nothing was written) prove that the
// attempt never ran.
const (
	OK Outcome = 1 + iota
	Error
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnection || o == NotSent }

// String returns the name of the outcome in metrics and logs.
func (o Outcome) String() string {
	names := []string{"none", "ok", "error", "full", "timed_out", "no_connection", "reset", "cancelled", "moot"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// State is the state of a server according to the list of servers.
type State int

// The states of a server.
const (
	Serving State = iota
	Draining
	Removed
)

// Server is an entry of the list of servers.
type Server struct {
	ID      string
	Address string // where it listens; may always be omitted
	Zone    string
	Cell    int
	Kind    string
	State   State
	Started time.Duration // by the wall clock of its machine, which may be wrong; 0: long ago
	Weight  float64
}

// Report is a load report of a server: values by name (queue, util, qps, latency_ms, inflight, errors_per_s).
type Report map[string]float64

// Event is an input of a gateway.
type Event interface{ event() }

// FleetKind says how to interpret a FleetUpdate.
type FleetKind int

// The kinds of update.
const (
	FleetDelta  FleetKind = iota // changed entries only
	FleetFull                    // the whole list
	FleetStale                   // the whole list as last known, which may be long out of date
	FleetFailed                  // fetching failed; the previous list stays valid
)

type (
	// FleetUpdate reports the list of servers or a change of it.
	FleetUpdate struct {
		Kind    FleetKind
		Version uint64
		Servers []Server
	}
	// Request is a request of a client. It must get one final answer before Deadline.
	Request struct {
		ID, Class, Plan, Customer string
		Units                     float64
		Deadline                  time.Duration
		First, Spread             int  // gateways of the customer: number of the first, and how many
		ClientRetry               bool // the client has sent the request before
		Write                     bool // the request changes data
	}
	// AnswerStarted reports that a streamed answer has begun.
	AnswerStarted struct {
		ID, Server string
		Attempt    int
		Elapsed    time.Duration
	}
	// AttemptEnded reports how an attempt ended.
	AttemptEnded struct {
		ID, Server  string
		Attempt     int
		Outcome     Outcome
		Elapsed     time.Duration
		RequestDone bool    // the request is finished
		Metered     int     // 1 + the use of the customer in percent of its rate; 0: not reported
		ActualUnits float64 // 0: not reported
		Report      Report
	}
	// ClientGone reports that the client has left. No answer is owed.
	ClientGone struct{ ID string }
	// TimerFired is the response to SetTimer.
	TimerFired struct{ Token uint64 }
	// ProbeEnded is the response to Probe.
	ProbeEnded struct {
		Server  string
		Outcome Outcome
		Elapsed time.Duration
		Report  Report
	}
	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From int
		Text string
	}
	// Counted is the response to Count.
	Counted struct {
		Name    uint64
		Outcome Outcome
		Total   float64
		Elapsed time.Duration
	}
)

func (FleetUpdate) event()   {}
func (Request) event()       {}
func (AnswerStarted) event() {}
func (AttemptEnded) event()  {}
func (ClientGone) event()    {}
func (TimerFired) event()    {}
func (ProbeEnded) event()    {}
func (PeerMessage) event()   {}
func (Counted) event()       {}

// Reason says why a request was refused or failed, for metrics and logs.
type Reason string

// The reasons.
const (
	ReasonUnknown   Reason = "unknown_class_or_plan"
	ReasonQuota     Reason = "quota"     // this gateway's bucket, attempt cap or share of the ceiling has no room
	ReasonOwner     Reason = "owner"     // the owner of the customer refused it
	ReasonThrottled Reason = "throttled" // the owner refused the customer shortly before
	ReasonShed      Reason = "shed"      // the servers are overloaded, and the request is worth too little
	ReasonCustomers Reason = "customers" // the customer is new, and too many others are known
	ReasonNoServer  Reason = "no_server" // no server may be used
	ReasonNoTime    Reason = "no_time"   // no answer can be expected in time
	ReasonAttempts  Reason = "attempts"  // all attempts failed, and no further one is allowed or possible
)

// Action is an output of a gateway, for the caller to carry out.
type Action interface{ action() }

type (
	// Send starts an attempt. A request's attempts are numbered from 0.
	Send struct {
		ID, Server  string
		Timeout     time.Duration // 0: until the client gives up
		WriteBefore time.Duration // nothing of the attempt may be written after this time; 0: no such limit
	}
	// Cancel stops waiting for an attempt. The server may still work on it.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Refuse is a final answer that promises the client that trying again does no harm.
	Refuse struct {
		ID         string
		RetryAfter time.Duration // 0: no advice
		Reason     Reason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     string
		Reason Reason
	}
	// SetTimer requests a TimerFired event at a given time.
	SetTimer struct {
		At    time.Duration
		Token uint64
	}
	// Probe requests a load report from a server.
	Probe struct{ Server string }
	// CloseIdle closes the idle connections to a server.
	CloseIdle struct{ Server string }
	// Subscribe starts or stops notifications of changes of the list of servers.
	Subscribe struct{ On bool }
	// FetchList requests the whole list once.
	FetchList struct{}
	// SendToPeer sends a message to one peer.
	SendToPeer struct {
		To   int
		Text string
	}
	// Count adds to a named value of the shared counter.
	Count struct {
		Name uint64
		Add  float64
		TTL  time.Duration
	}
	// Log writes a line to the log.
	Log struct{ Text string }
)

func (Send) action()       {}
func (Cancel) action()     {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (SetTimer) action()   {}
func (Probe) action()      {}
func (CloseIdle) action()  {}
func (Subscribe) action()  {}
func (FetchList) action()  {}
func (SendToPeer) action() {}
func (Count) action()      {}
func (Log) action()        {}
