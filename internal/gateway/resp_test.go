package gateway

import (
	"strings"
	"testing"

	"winghatch/decide"
)

// Guards against a parser that accepts too much. An answer has exactly one form, and anything else must be rejected
// as early as possible. When any array that starts with a string was accepted, malformed answers were passed to
// clients, or more bytes were awaited until the request's deadline.
func TestParseAnswer(t *testing.T) {
	const rest = "$-1\r\n$-1\r\n"
	for in, want := range map[string]answer{
		"*3\r\n$1\r\nv\r\n" + rest:                   {decide.OK, []byte("$1\r\nv\r\n"), true},
		"*3\r\n$0\r\n\r\n" + rest:                    {decide.OK, []byte("$0\r\n\r\n"), true},
		"*3\r\n$1\r\nv\r\n$2\r\n51\r\n$3\r\n?!?\r\n": {decide.OK, []byte("$1\r\nv\r\n"), true},
		"*3\r\n$1\r\nv\r\n:5\r\n$-1\r\n":             {decide.OK, []byte("$1\r\nv\r\n"), false},
		"*3\r\n$1\r\nv\r\n$-1\r\n$3000000000\r\n":    {decide.OK, []byte("$1\r\nv\r\n"), false},
		"-ERR failed inflight=7,queue=2\r\n":         {decide.Error, nil, true},
		"-BUSY\r\n":                                  {decide.Full, nil, true},
		"-BUSY draining\r\n":                         {decide.Full, nil, true},
		"-BUSYBODY\r\n":                              {decide.Error, nil, true},
	} {
		for n := range len(in) {
			if _, used, err := parseAnswer([]byte(in[:n])); want.inSync && (used != 0 || err != nil) {
				t.Errorf("%q: used %d, %v, want to wait for more", in[:n], used, err)
			}
		}
		a, used, err := parseAnswer([]byte(in))
		if used != len(in) || a.outcome != want.outcome || string(a.value) != string(want.value) || a.inSync != want.inSync || err != nil {
			t.Errorf("%q: got %+v, %d bytes, %v", in, a, used, err)
		}
	}
	for _, in := range []string{
		"hello", "+OK\r\n", ":1\r\n", "$1\r\nv\r\n", "*1\r\n$1\r\nv\r\n", "*0\r\n", "*-1\r\n", "*4\r\n", "*1000000000\r\n",
		"*3\r\n$-1\r\n", "*3\r\n:5\r\n", "*3\r\n$3000000000\r\n", "*3\r\n$-9\r\n", "*3\r\n$9223372036854775807\r\n",
		"*3\r\n$2\r\nval", "*3\r\n$65537\r\n", "*3\n", "*111111111111111111", "-\r\n", "-oops\r\n", "-ERR\n", "-ER\xff\r\n",
		"-ERR " + strings.Repeat("x", maxFieldBytes),
	} {
		if _, _, err := parseAnswer([]byte(in)); err == nil {
			t.Errorf("%q: no error for a malformed answer", in)
		}
	}
}

// Input that can't become a command is rejected on its first bytes, not after 68 KB of it. For an incomplete command,
// the parser waits for more.
func TestParseCommand(t *testing.T) {
	for _, in := range []string{
		"PING\r\n", "*-1\r\n", "*x\r\n", "*+1\r\n", "*17\r\n", "*1000000000\r\n", "*1\n", "*1\r\n:", "*1\r\n$-1\r\n", "*1\r\n$-9999\r\n",
		"*1\r\n$60000000\r\n", "*1\r\n$9223372036854775807\r\n", "*1\r\n$2\r\nabc", "*1" + strings.Repeat("1", maxHeaderBytes),
		"*2\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n$10000\r\n",
	} {
		if _, _, err := parseCommand([]byte(in), nil); err == nil {
			t.Errorf("%.40q: no error for a malformed command", in)
		}
	}
	const in = "*2\r\n$4\r\nPING\r\n$0\r\n\r\n"
	for n := range len(in) {
		if used, _, err := parseCommand([]byte(in[:n]), nil); used != 0 || err != nil {
			t.Errorf("%q: used %d, %v, want to wait for more", in[:n], used, err)
		}
	}
	if used, args, err := parseCommand([]byte(in+"*"), nil); used != len(in) || len(args) != 2 || string(args[0]) != "PING" || err != nil {
		t.Errorf("got %d bytes, %q, %v", used, args, err)
	}
}

// Guards against reading past the end of the last command: missingBytes must not return more than the headers
// received so far prove to be missing.
func TestMissingBytes(t *testing.T) {
	const complete = "*2\r\n$4\r\nPING\r\n$2\r\nab\r\n"
	for text, want := range map[string]int{
		"":                             0,
		complete:                       0,
		complete + complete:            0,
		"*":                            1,
		"*2\r":                         1,
		"*2\r\n":                       1,
		"*2\r\n$4":                     1,
		"*2\r\n$4\r\n":                 6,
		"*2\r\n$4\r\nPI":               4,
		"*2\r\n$4\r\nPING\r":           1,
		"*2\r\n$4\r\nPING\r\n":         1,
		complete[:len(complete)-3]:     3,
		complete + complete[:14] + "$": 1,
		"*x\r\n":                       0,
		complete + "*1\r\n$-7\r\n":     0,
	} {
		if got := missingBytes([]byte(text)); got != want {
			t.Errorf("%q: %d bytes are missing, want %d", text, got, want)
		}
	}
}
