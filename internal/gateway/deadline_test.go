package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// toldLeft is the time that a command tells its server.
func toldLeft(t *testing.T, args []string) time.Duration {
	t.Helper()
	for _, pair := range strings.Split(args[listArg], ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "d" {
			ms, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(ms) * time.Millisecond
		}
	}
	t.Fatalf("no d in %q", args)
	return 0
}

// A request that was read ahead while as many answers as allowed were owed keeps the deadline that it came with: its time
// counts from its last byte, not from when a gateway gets to it.
func TestPipelinedRequestKeepsItsDeadline(t *testing.T) {
	const (
		deadline = 20 * time.Second
		held     = time.Second
		slack    = 600 * time.Millisecond // for a machine that is busy; the fault is all of held
	)
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
	var batch strings.Builder
	batch.WriteString(asked("first"))
	for range owedMost - 1 {
		batch.WriteString("*1\r\n$4\r\nPING\r\n")
	}
	list := fmt.Sprintf("c=look,t=p,d=%d,units=1,spread=2,first=0", deadline.Milliseconds())
	fmt.Fprintf(&batch, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n%s\r\n$6\r\nsecond\r\n$%d\r\n%s\r\n", customer, len(list), list)
	c.raw(batch.String())
	first := b.next(t)
	time.Sleep(held)
	first.answer(t, served("one"))
	second := b.next(t)
	for second.args == nil || second.args[idArg] != "second" {
		second = b.next(t)
	}
	if told, most := toldLeft(t, second.args), deadline-held+slack; told > most {
		t.Errorf("the server was told %v, with at most %v left", told, deadline-held)
	}
}
