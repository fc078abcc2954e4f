package faultsoak

import (
	"strings"
	"testing"
	"time"
)

// testMS is one millisecond. Times in the tests are multiples of it.
const testMS = Moment(time.Millisecond)

func testProfile() Profile {
	return Profile{Gateways: 2, DedupWindow: 400 * time.Millisecond, Deadline: 2 * time.Second, DrainGrace: 250 * time.Millisecond, ColdFrom: 0.2,
		ColdFor: 10 * time.Second, FallMultiple: 2, FallWindow: time.Second, ServerRate: 30, Cells: map[string]int{"a": 0, "b": 1}}
}

// history builds the observations of one request that was sent at 1 s with a deadline of 1 s.
type history struct {
	oracle   *oracle
	request  *Request
	attempts uint64
}

func newHistory(class string) *history {
	s := &history{oracle: newOracle(testProfile()), request: &Request{ID: "r", Class: class, Sent: 1000 * testMS, Deadline: time.Second}}
	s.oracle.addRequest(s.request)
	return s
}

// recordArrival records an attempt at a server, and whether the server reported that it never ran.
func (s *history) recordArrival(server string, at Moment, leftMS float64, neverRan bool) {
	s.attempts++
	s.oracle.handleEvent(Event{Type: EventArrival, At: at, First: at, Server: server, Attempt: s.attempts, Request: "r", RemainingMS: leftMS})
	s.oracle.handleEvent(Event{Type: EventAttemptEnd, At: at, Server: server, Attempt: s.attempts, Request: "r", NeverRan: neverRan})
}

// recordAnswer records the client's answer.
func (s *history) recordAnswer(kind AnswerKind, at Moment) {
	s.request.Kind, s.request.Answered, s.request.Value = kind, at, "v:r:a"
}

// notify records that discovery reported a state of server "a" to the gateway.
func (s *history) notify(state string, at Moment) {
	s.oracle.handleEvent(Event{Type: EventNotified, At: at, Server: "a", State: state})
}

// Guards against an oracle that misses a violation, reports the wrong rule, or reports a violation where the
// specification permits the observed behaviour.
func TestOracleReportsExactlyTheViolations(t *testing.T) {
	for name, tc := range map[string]struct {
		class string
		act   func(s *history)
		want  Rule // empty: no violation
	}{
		"served":                              {ClassSafe, func(s *history) { s.recordArrival("a", 1010*testMS, 900, false); s.recordAnswer(Served, 1100*testMS) }, ""},
		"never answered":                      {ClassSafe, func(*history) {}, RuleLost},
		"connection closed without an answer": {ClassSafe, func(s *history) { s.request.ConnEnded = 1400 * testMS }, RuleLost},
		"connection closed before the request was read":    {ClassSafe, func(s *history) { s.request.ConnEnded, s.request.RacedClose = 1010*testMS, true }, ""},
		"client disconnected":                              {ClassSafe, func(s *history) { s.request.ClientGone = 1010 * testMS }, ""},
		"gateway killed":                                   {ClassSafe, func(s *history) { s.request.ConnEnded = 1300 * testMS; s.recordKill(1200, 1200) }, ""},
		"gateway killed, request sent after the exemption": {ClassSafe, func(s *history) { s.request.ConnEnded = 1300 * testMS; s.recordKill(1200, 900) }, RuleLost},
		"sent to a dead process on an old connection": {ClassSafe, func(s *history) {
			s.request.ConnOpened, s.request.ConnEnded = 500*testMS, 1300*testMS
			s.oracle.outages[0] = []outage{{begun: 900 * testMS, exemptUntil: 910 * testMS, outright: true}}
		}, ""},
		"sent on a connection opened after a kill": {ClassSafe, func(s *history) {
			s.request.ConnOpened, s.request.ConnEnded = 950*testMS, 1300*testMS
			s.oracle.outages[0] = []outage{{begun: 900 * testMS, exemptUntil: 910 * testMS, outright: true}}
		}, RuleLost},
		"slow reader's connection closed":        {ClassSafe, func(s *history) { s.request.SlowReader = true; s.request.ConnEnded = 1400 * testMS }, RuleSlowClient},
		"late answer":                            {ClassSafe, func(s *history) { s.recordAnswer(Failed, 2600*testMS) }, RuleLate},
		"late because of the preceding answer":   {ClassSafe, func(s *history) { s.recordAnswer(Failed, 2600*testMS); s.request.PreviousAnswer = 2000 * testMS }, ""},
		"value of another request":               {ClassSafe, func(s *history) { s.recordAnswer(Served, 1100*testMS); s.request.Value = "v:q:a" }, RuleWrongAnswer},
		"attempt after the answer":               {ClassSafe, func(s *history) { s.recordAnswer(Failed, 1100*testMS); s.recordArrival("a", 1300*testMS, 100, false) }, RuleAfterAnswer},
		"attempt after the client disconnected":  {ClassSafe, func(s *history) { s.request.ClientGone = 1010 * testMS; s.recordArrival("a", 1300*testMS, 100, false) }, RuleClientGone},
		"attempt states too much remaining time": {ClassSafe, func(s *history) { s.recordArrival("a", 1500*testMS, 900, false); s.recordAnswer(Failed, 1900*testMS) }, RuleDeadline},
		"unsafe, two attempts":                   {ClassUnsafe, func(s *history) { s.recordTwoArrivals("a", "a", 50, false, Failed) }, RuleRepeat},
		"unsafe, first attempt never ran":        {ClassUnsafe, func(s *history) { s.recordTwoArrivals("a", "b", 50, true, Served) }, ""},
		"keyed, same cell":                       {ClassKeyed, func(s *history) { s.recordTwoArrivals("a", "a", 50, false, Served) }, ""},
		"keyed, other cell":                      {ClassKeyed, func(s *history) { s.recordTwoArrivals("a", "b", 50, false, Served) }, RuleRepeat},
		"keyed, after the deduplication window":  {ClassKeyed, func(s *history) { s.recordTwoArrivals("a", "a", 800, false, Served) }, RuleRepeat},
		"unsafe, two attempts, server paused": {ClassUnsafe, func(s *history) {
			s.oracle.pauses["a"] = []pause{{1000 * testMS, 2000 * testMS}}
			s.recordTwoArrivals("a", "a", 50, false, Failed)
		}, RuleRepeat},
		"refused, attempt may have run":      {ClassUnsafe, func(s *history) { s.recordArrival("a", 1010*testMS, 900, false); s.recordAnswer(Refused, 1100*testMS) }, RuleRefusal},
		"refused, attempt never ran":         {ClassUnsafe, func(s *history) { s.recordArrival("a", 1010*testMS, 900, true); s.recordAnswer(Refused, 1100*testMS) }, ""},
		"draining for longer than the grace": {ClassSafe, func(s *history) { s.notify("draining", 500*testMS); s.recordServed() }, RuleDrain},
		"draining for less than the grace":   {ClassSafe, func(s *history) { s.notify("draining", 900*testMS); s.recordServed() }, ""},
		"up again":                           {ClassSafe, func(s *history) { s.notify("draining", 100*testMS); s.notify("up", 900*testMS); s.recordServed() }, ""},
	} {
		s := newHistory(tc.class)
		tc.act(s)
		violations := s.oracle.judge()
		switch {
		case tc.want == "" && len(violations) > 0:
			t.Errorf("%s: got violations %v, want none", name, violations)
		case tc.want != "" && (len(violations) != 1 || violations[0].Rule != tc.want):
			t.Errorf("%s: got violations %v, want one of rule %q", name, violations, tc.want)
		}
	}
}

// recordServed records one attempt at server "a" and its answer in time.
func (s *history) recordServed() {
	s.recordArrival("a", 1010*testMS, 900, false)
	s.recordAnswer(Served, 1100*testMS)
}

// recordKill records a kill at the end of a planned restart. Both times are in milliseconds.
func (s *history) recordKill(at, exemptUntil int) {
	s.oracle.outages[0] = append(s.oracle.outages[0], outage{begun: Moment(at) * testMS, exemptUntil: Moment(exemptUntil) * testMS})
}

// recordTwoArrivals records two attempts, the second laterMS after the first, and an answer.
func (s *history) recordTwoArrivals(first, second string, laterMS int, neverRan bool, kind AnswerKind) {
	s.recordArrival(first, 1010*testMS, 900, neverRan)
	s.recordArrival(second, Moment(1010+laterMS)*testMS, 100, false)
	s.recordAnswer(kind, Moment(1100+laterMS)*testMS)
}

// Guards against an oracle that misses an overload of a server in slow start, or reports one where the gateway did not
// know of the server's start.
func TestOracleReportsSlowStartOverload(t *testing.T) {
	begun := 1000 * testMS
	for name, tc := range map[string]struct {
		requests     int
		informed     bool
		startedLater bool // the gateway started after the server, with a wrong wall clock
		violates     bool
	}{
		"under the bound":      {requests: 20, informed: true},
		"over the bound":       {requests: 40, informed: true, violates: true},
		"gateway not informed": {requests: 40},
		"only the gateway's first list shows the start, clock wrong": {requests: 40, informed: true, startedLater: true},
	} {
		o := newOracle(testProfile())
		o.recordIncarnation("a", 1, serverIncarnation{begun: begun, startedMS: 7})
		if tc.informed {
			o.handleEvent(Event{Type: EventNotified, At: begun, Server: "a", State: "up", StartedMS: 7})
		}
		if tc.startedLater {
			o.gatewayStarts[0] = []gatewayStart{{at: begun + 1, clockWrong: true}}
		}
		for i := range tc.requests {
			id := strings.Repeat("x", i+1)
			at := begun.Add(time.Duration(100+i) * time.Millisecond)
			o.addRequest(&Request{ID: id, Class: ClassSafe, Sent: at, Deadline: time.Second, Kind: Failed, Answered: at})
			o.handleEvent(Event{Type: EventArrival, At: at, First: at, Server: "a", Incarnation: 1, Attempt: uint64(i), Request: id})
		}
		if violations := o.judge(); (len(violations) > 0) != tc.violates || tc.violates && violations[0].Rule != RuleSlowStart {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// Guards against an oracle that misses a gateway that does not call the newly configured discovery address within 4 s
// of a reload, or that reports one whose process ended or was reconfigured before.
func TestOracleReportsIgnoredReload(t *testing.T) {
	at := 1000 * testMS
	for name, tc := range map[string]struct {
		queried  Moment
		until    Moment
		violates bool
	}{
		"new address called in time":    {2000 * testMS, 9000 * testMS, false},
		"new address called too late":   {6000 * testMS, 9000 * testMS, true},
		"reconfigured before the limit": {0, 3000 * testMS, false},
	} {
		o := newOracle(testProfile())
		o.reloads = []reload{{address: 2, at: at, until: tc.until}}
		if tc.queried > 0 {
			o.handleEvent(Event{Type: EventQueried, At: tc.queried, Address: 2})
		}
		if violations := o.judge(); (len(violations) > 0) != tc.violates {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// Guards against a parser that accepts malformed replies or mistakes incomplete replies for complete ones.
func TestParseReplyRejectsIncompleteAndMalformedReplies(t *testing.T) {
	for text, want := range map[string]struct {
		line, value string
		used        int
	}{
		"+PONG\r\nrest":         {"+PONG", "", 7},
		"-BUSY 20\r\n":          {"-BUSY 20", "", 10},
		"$3\r\nabc\r\n+":        {"$3", "abc", 9},
		"$3\r\nab":              {},
		"-BUS":                  {},
		"$0\r\n\r\n":            {"$0", "", 6},
		"-ERR protocol error\r": {},
	} {
		line, value, used, err := parseReply([]byte(text))
		if line != want.line || string(value) != want.value || used != want.used || err != nil {
			t.Errorf("%q: got %q, %q, %d, %v", text, line, value, used, err)
		}
	}
	for _, text := range []string{"\r\n", "$x\r\n", "$-1\r\n"} {
		if _, _, _, err := parseReply([]byte(text)); err == nil {
			t.Errorf("%q: got no error, want one", text)
		}
	}
}
