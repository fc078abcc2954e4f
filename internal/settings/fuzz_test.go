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

// Bounds that keep an execution short.
const (
	textMost  = 16 << 10
	allocMost = 16 << 20 // bytes that a gateway may take at its start, besides 64 for each of its settings'
	beats     = 64
	digits    = 64 // of messages between gateways, which have one for a plan
)

const usual = `{"Classes":[{"Name":"look","Effect":"safe","AimNs":%d,"GiveUpNs":%d,"WindowNs":%d,"Importance":%s},
{"Name":"book","Effect":"keyed","Group":"zone","AimNs":%[1]d,"GiveUpNs":%[2]d,"WindowNs":%[3]d,"Importance":3}],
"Extra":{"PeerIntake":%[5]s,"UnitsTop":%s,"CostAfter":true},"Instances":%d,"Rank":%d,"Zone":"a",
"Limits":{"SendCap":%d,"MayCancel":true,"ParallelTries":true,"Peers":true,"RetryAfter":true,"MaxRetryAfterNs":%[1]d,
"ConnectTimeoutNs":%[2]d,"ConnIdleNs":%[3]d,"OpenCap":%[9]d},
"Safety":{"ColdNs":%[2]d,"FallNs":%[1]d,"FallMultiple":%[4]s,"ColdFrom":%[4]s},"Prices":{"Handshake":%[4]s},
"TiersOfService":[{"Name":"p","Refill":%[10]s,"MostAtOnce":%s,"Parallel":%[9]d,"Pays":1},
{"Name":"q","Refill":%[10]s,"MostAtOnce":%[11]s,"NeverOverRate":%[10]s,"NeverOverDepth":%[11]s,"HardSlack":%[4]s,"Pays":1}]}`

var field = regexp.MustCompile(`field "[^"]+"|(Classes|TiersOfService|Plans)(\[\d+\]\.[A-Z]| is empty| has)|` +
	`(Gateways|Instances|Rank|PeerIntake|UnitsTop|MaxUnits|Limits\.[A-Z][A-Za-z]+|Safety\.[A-Z][A-Za-z]+|Extra\.[A-Z][A-Za-z]+) `)

func number(v float64) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "1e999" // beyond what a number holds
	}
	return string(b)
}

// FuzzSettings: settings that are accepted can be worked with, in little memory; others are refused by the name of the
// field at fault, or by the place where they are no JSON.
func FuzzSettings(f *testing.F) {
	second := time.Second.Nanoseconds()
	add := func(aim, giveUp, window int64, part, intake, units float64, gateways, rank, most int, rate, burst float64) {
		f.Add("", aim, giveUp, window, part, intake, units, gateways, rank, most, rate, burst)
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
	f.Fuzz(func(t *testing.T, text string, aim, giveUp, window int64, part, intake, units float64, gateways, rank, most int,
		rate, burst float64) {
		if text = text[:min(len(text), textMost)]; text == "" {
			text = fmt.Sprintf(usual, aim, giveUp, window, number(part), number(intake), number(units), gateways, rank, most,
				number(rate), number(burst))
		}
		s, err := Parse(json.RawMessage(text))
		if err == nil {
			err = s.Decide.Validate()
		}
		if err != nil {
			if json.Valid([]byte(text)) && strings.HasPrefix(text, "{") && !field.MatchString(err.Error()) {
				t.Fatalf("%s: %v names no field", text, err)
			}
			return
		}
		work(t, s, text)
	})
}

// work starts a gateway with the settings and lets it serve a request of each class and plan.
func work(t *testing.T, s Settings, text string) {
	if s.Decide.Limits.Peers && len(s.Decide.Plans) > digits {
		t.Fatalf("%d plans, which messages between gateways can't tell apart", len(s.Decide.Plans))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	g, err := decide.New(s.Decide, 1)
	if err != nil {
		t.Fatalf("%s: accepted, but: %v", text, err)
	}
	now := 1750000000 * time.Second
	var timers []decide.SetTimer
	take := func(acts []decide.Action) (send *decide.Send, answered bool) {
		for _, a := range acts {
			switch a := a.(type) {
			case decide.SetTimer:
				if a.At < now+time.Millisecond && a.Token == 1 {
					t.Fatalf("%s: a beat after %v", text, a.At-now)
				}
				timers = append(timers, a)
			case decide.Send:
				if a.Timeout <= 0 || a.Before < 0 {
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
			case decide.Tell:
				if len(a.Text) > 256 || a.To < 0 || a.To >= s.Decide.Gateways {
					t.Fatalf("%s: %+v", text, a)
				}
			}
		}
		return send, answered
	}
	take(g.Handle(now, decide.FleetUpdate{Kind: decide.FleetStale, Servers: []decide.Server{{ID: "s1", Zone: "a"},
		{ID: "s2", Started: now - time.Second}}}))
	n := 0
	for i := range s.Decide.Classes[:min(len(s.Decide.Classes), 4)] {
		for j := range s.Decide.Plans[:min(len(s.Decide.Plans), 4)] {
			n++
			k := &s.Decide.Classes[i]
			ev := decide.Request{ID: fmt.Sprint(n), Class: k.Name, Plan: s.Decide.Plans[j].Name, Customer: fmt.Sprint("c", j),
				Units: 1, Deadline: now + time.Second, Spread: 1}
			send, answered := take(g.Handle(now, ev))
			for turn := 0; send == nil && !answered && turn < 16 && len(timers) > 0; turn++ { // it asks a home in vain
				at := 0
				for m, x := range timers {
					if x.At < timers[at].At {
						at = m
					}
				}
				x := timers[at]
				timers = append(timers[:at], timers[at+1:]...)
				now = max(now, x.At)
				send, answered = take(g.Handle(now, decide.TimerFired{Token: x.Token}))
			}
			if send == nil && !answered {
				t.Fatalf("%s: %+v is neither sent nor answered", text, ev)
			}
			if send != nil {
				take(g.Handle(now, decide.AttemptEnded{ID: ev.ID, Server: send.Server, Outcome: decide.OK, Took: time.Millisecond,
					Done: true, TrueUnits: 1}))
			}
		}
	}
	for range beats {
		now += 100 * time.Millisecond
		take(g.Handle(now, decide.TimerFired{Token: 1}))
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > uint64(allocMost+64*len(text)) {
		t.Fatalf("%s: %d bytes are taken", text, n)
	}
	for i := range s.Decide.Classes {
		k := &s.Decide.Classes[i]
		for _, d := range []time.Duration{k.Aim, k.Deadline, k.Window, s.Decide.Limits.ConnectTimeout, s.Decide.Limits.ConnKept,
			s.Decide.Safety.ColdFor, s.Decide.Safety.FallWindow, s.Decide.Limits.MaxRetryAfter} {
			if d < 0 || d > math.MaxInt64/4 {
				t.Fatalf("%s: a time of %v, which ends before it begins once it is added to the present", text, d)
			}
		}
	}
}
