package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// timeoutArg returns the value of d in a command to a server.
func timeoutArg(t *testing.T, args []string) time.Duration {
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

// Guards against a deadline that counts from when the gateway processes a request. The request here is read ahead
// while the limit of pending answers is reached. Its time counts from its last byte.
func TestPipelinedRequestKeepsItsDeadline(t *testing.T) {
	const (
		deadline = 20 * time.Second
		held     = time.Second
		// allowance for a busy machine; with the wrong deadline the excess is all of held
		slack = 600 * time.Millisecond
	)
	b := newBackend(t)
	c := newHarness(t, longTarget, b).dial(t)
	var batch strings.Builder
	batch.WriteString(rawRequest("first"))
	for range maxPendingAnswers - 1 {
		batch.WriteString("*1\r\n$4\r\nPING\r\n")
	}
	list := fmt.Sprintf("c=look,t=p,d=%d,units=1,spread=2,first=0", deadline.Milliseconds())
	fmt.Fprintf(&batch, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n%s\r\n$6\r\nsecond\r\n$%d\r\n%s\r\n", customer, len(list), list)
	c.sendRaw(batch.String())
	first := b.next(t)
	time.Sleep(held)
	first.answer(t, servedReply("one"))
	second := b.next(t)
	for second.args == nil || second.args[idArg] != "second" {
		second = b.next(t)
	}
	if sent, limit := timeoutArg(t, second.args), deadline-held+slack; sent > limit {
		t.Errorf("the server received d=%v, with at most %v left", sent, deadline-held)
	}
}
