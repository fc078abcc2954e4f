package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

// Limits of one fuzz execution. They keep it short and detect settings that take too much memory.
const (
	maxTextBytes      = 16 << 10 // bytes of a settings text
	maxAllocBytes     = 16 << 20 // bytes that a gateway may allocate, in addition to 64 for each byte of the settings
	heartbeats        = 64       // fired after the requests
	maxPlansWithPeers = 64       // messages between gateways identify a plan by one of 64 digits
)

// settingsTemplate is a valid settings object with placeholders for the values that the fuzzer chooses.
const settingsTemplate = `{"Classes":[{"Name":"look","Effect":"safe","AimNs":%d,"GiveUpNs":%d,"WindowNs":%d,"Importance":%s},
{"Name":"book","Effect":"keyed","Group":"zone","AimNs":%[1]d,"GiveUpNs":%[2]d,"WindowNs":%[3]d,"Importance":3}],
"Extra":{"PeerIntake":%[5]s,"UnitsTop":%s,"CostAfter":true},"Instances":%d,"Rank":%d,"Zone":"a",
"Limits":{"SendCap":%d,"MayCancel":true,"ParallelTries":true,"Peers":true,"RetryAfter":true,"MaxRetryAfterNs":%[1]d,
"ConnectTimeoutNs":%[2]d,"ConnIdleNs":%[3]d,"OpenCap":%[9]d},
"Safety":{"ColdNs":%[2]d,"FallNs":%[1]d,"FallMultiple":%[4]s,"ColdFrom":%[4]s},"Prices":{"Handshake":%[4]s},
"TiersOfService":[{"Name":"p","Refill":%[10]s,"MostAtOnce":%s,"Parallel":%[9]d,"Pays":1},
{"Name":"q","Refill":%[10]s,"MostAtOnce":%[11]s,"NeverOverRate":%[10]s,"NeverOverDepth":%[11]s,"HardSlack":%[4]s,"Pays":1}]}`

// namesField matches an error text that names the settings field at fault.
var namesField = regexp.MustCompile(`field "[^"]+"|(Classes|TiersOfService|Plans)(\[\d+\]\.[A-Z]| is empty| has)|` +
	`(Gateways|Instances|Rank|PeerIntake|UnitsTop|MaxUnits|Limits\.[A-Z][A-Za-z]+|Safety\.[A-Z][A-Za-z]+|Extra\.[A-Z][A-Za-z]+) `)

// number returns v as JSON, or a number that is out of range if v has no JSON form.
func number(v float64) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "1e999" // out of the range of a float64
	}
	return string(b)
}

// FuzzSettings checks that a gateway with accepted settings can serve requests within the memory limit, and that the
// error for rejected settings names the field at fault. Only for invalid JSON the error may give the position instead.
func FuzzSettings(f *testing.F) {
	second := time.Second.Nanoseconds()
	add := func(aim, giveUp, window int64, importance, intake, units float64, gateways, rank, limit int, rate, burst float64) {
		f.Add("", aim, giveUp, window, importance, intake, units, gateways, rank, limit, rate, burst)
	}
	add(second, 4*second, 2*second, 0.5, 40, 8, 3, 1, 4, 10, 30)
	add(second, 0, 0, 0, 4, 0, 80, 79, 4, 0.1, 1)
	add(1, 1, 1, 1, 0, 1, 1, 0, 1, 0, 0)
	add(second, 4*second, 2*second, 0.5, 40, 8, 0, 0, 0, 1, 1)
	for _, text := range []string{`{}`, `{"Classes":[{"Name":"a","Effect":"odd","AimNs":1}]}`, `{"Classes":{}}`, `{"Extra":{"PeerIntake":"x"}}`,
		`{"Classes":[{"Name":"a","Effect":"safe","Group":"odd","AimNs":1}]}`, `{"Instances":1.5}`, `{"Instances":1e400}`, `[]`,
		`{"TiersOfService":[{"Name":"p"},{"Name":"p"}]}`,
		`{"Classes":[{"Name":"a","Effect":"unsafe","AimNs":1}],"Instances":1,"Limits":{"SendCap":1},"TiersOfService":[{"Name":""}]}`} {
		f.Add(text, second, second, second, 0.0, 0.0, 0.0, 1, 0, 1, 0.0, 0.0)
	}
	f.Fuzz(func(t *testing.T, text string, aim, giveUp, window int64, importance, intake, units float64, gateways, rank, limit int,
		rate, burst float64) {
		if text = text[:min(len(text), maxTextBytes)]; text == "" {
			text = fmt.Sprintf(settingsTemplate, aim, giveUp, window, number(importance), number(intake), number(units), gateways, rank, limit,
				number(rate), number(burst))
		}
		s, err := Parse(json.RawMessage(text))
		if err == nil {
			err = s.Decide.Validate()
		}
		if err != nil {
			if json.Valid([]byte(text)) && strings.HasPrefix(text, "{") && !namesField.MatchString(err.Error()) {
				t.Fatalf("%s: %v names no field", text, err)
			}
			return
		}
		serveRequests(t, s, text)
	})
}

// serveRequests starts a decision engine with the settings. It handles a request for each pair of the first 4 classes
// and the first 4 plans, and then 64 heartbeat timers.
func serveRequests(t *testing.T, s Settings, text string) {
	if s.Decide.Limits.Peers && len(s.Decide.Plans) > maxPlansWithPeers {
		t.Fatalf("%d plans are accepted, more than messages between gateways can distinguish", len(s.Decide.Plans))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	engine, err := decide.New(s.Decide, 1)
	if err != nil {
		t.Fatalf("%s: Validate accepts the settings, but New fails: %v", text, err)
	}
	now := 1750000000 * time.Second
	var timers []decide.SetTimer
	apply := func(actions []decide.Action) (send *decide.Send, answered bool) {
		for _, a := range actions {
			switch a := a.(type) {
			case decide.SetTimer:
				if a.At < now+time.Millisecond && a.Token == 1 {
					t.Fatalf("%s: the next heartbeat is due after only %v", text, a.At-now)
				}
				timers = append(timers, a)
			case decide.Send:
				if a.Timeout <= 0 || a.WriteBefore < 0 {
					t.Fatalf("%s: %+v", text, a)
				}
				send = &a
			case decide.Refuse:
				if a.RetryAfter < 0 || a.RetryAfter > s.Decide.Limits.MaxRetryAfter {
					t.Fatalf("%s: %+v", text, a)
				}
				answered = true
			case decide.Fail:
				answered = true
			case decide.SendToPeer:
				if len(a.Text) > 256 || a.To < 0 || a.To >= s.Decide.Gateways {
					t.Fatalf("%s: %+v", text, a)
				}
			}
		}
		return send, answered
	}
	apply(engine.Handle(now, decide.FleetUpdate{Kind: decide.FleetStale, Servers: []decide.Server{{ID: "s1", Zone: "a"},
		{ID: "s2", Started: now - time.Second}}}))
	requests := 0
	for i := range s.Decide.Classes[:min(len(s.Decide.Classes), 4)] {
		for j := range s.Decide.Plans[:min(len(s.Decide.Plans), 4)] {
			requests++
			class := &s.Decide.Classes[i]
			request := decide.Request{ID: fmt.Sprint(requests), Class: class.Name, Plan: s.Decide.Plans[j].Name,
				Customer: fmt.Sprint("c", j),
				Units:    1, Deadline: now + time.Second, Spread: 1}
			send, answered := apply(engine.Handle(now, request))
			// Owner queries are not answered. Fire their timeouts, earliest first.
			for fired := 0; send == nil && !answered && fired < 16 && len(timers) > 0; fired++ {
				earliest := 0
				for m, timer := range timers {
					if timer.At < timers[earliest].At {
						earliest = m
					}
				}
				timer := timers[earliest]
				timers = append(timers[:earliest], timers[earliest+1:]...)
				now = max(now, timer.At)
				send, answered = apply(engine.Handle(now, decide.TimerFired{Token: timer.Token}))
			}
			if send == nil && !answered {
				t.Fatalf("%s: %+v is neither forwarded nor answered", text, request)
			}
			if send != nil {
				apply(engine.Handle(now, decide.AttemptEnded{ID: request.ID, Server: send.Server, Outcome: decide.OK, Elapsed: time.Millisecond,
					RequestDone: true, ActualUnits: 1}))
			}
		}
	}
	for range heartbeats {
		now += 100 * time.Millisecond
		apply(engine.Handle(now, decide.TimerFired{Token: 1}))
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(maxAllocBytes+64*len(text)) {
		t.Fatalf("%s: %d bytes were allocated", text, allocated)
	}
	for i := range s.Decide.Classes {
		class := &s.Decide.Classes[i]
		for _, d := range []time.Duration{class.Aim, class.Deadline, class.Window, s.Decide.Limits.ConnectTimeout, s.Decide.Limits.ConnKept,
			s.Decide.Safety.ColdFor, s.Decide.Safety.FallWindow, s.Decide.Limits.MaxRetryAfter} {
			if d < 0 || d > math.MaxInt64/4 {
				t.Fatalf("%s: the duration %v overflows when it is added to the present", text, d)
			}
		}
	}
}
