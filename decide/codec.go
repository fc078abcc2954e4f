// This file encodes and decodes the messages between gateways, as strings of digits of 6 bits each. decide.go says
// what is sent and when. There are two protocols: broadcast messages and the owner protocol.

package decide

import (
	"math"
	"strings"
)

const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

// encode writes the n lowest digits of v.
func encode(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(6*i)&63])
	}
}

// decode reads digits. ok is false if s holds any other character.
func decode(s string) (v uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		digit := strings.IndexByte(digits, s[i])
		if digit < 0 {
			return 0, false
		}
		v = v<<6 | uint64(digit)
	}
	return v, true
}

// hashKey returns the name of a customer or server in messages: 36 bits of an FNV-1a hash.
func hashKey(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}

// wrappedDiff returns the step from one two-digit total to a later one. Totals wrap around and may also fall a
// little.
func wrappedDiff(from, to int) float64 { return float64((to-from+2048+4096)%4096 - 2048) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ownerMessage is a message of the owner protocol, between a gateway and an owner, about one request. Kind 'a'
// queries the owner, 'r' is the owner's response, and 'd' settles the request at the owner.
type ownerMessage struct {
	kind             byte
	key, queryNo     uint64
	plan, valueCount int
	// The first valueCount values are sent, in steps of 1/stepsPerUnit. Kind 'a' has the units of the request, and
	// 'd' the units used beyond those. Kind 'r' has 1 if the request is granted, else 0; the shared level; the demand
	// at all gateways in units a second; and the seconds that refused customers should wait.
	values           [4]float64
	observationCount int
	observations     [observationsPerMessage]observation
}

// observation says how one request of a class fared at a server.
type observation struct {
	server uint64
	class  int
	// Answer time as a multiple of the usual time of the class.
	relativeTime float64
	// missed is set if the request was left unanswered or failed, failed only if it failed.
	missed, failed bool
}

const (
	// Length of the header: kind, key of six digits, plan, query number of two digits.
	ownerMsgHeaderLen = 10
	stepsPerUnit      = 16
	// Length of an observation: server of three digits, and one digit for class and level.
	observationLen = 4
	// The key of a server in messages has the lowest 18 bits of its hash.
	serverKeyMask = 1<<18 - 1
	// Level of an observation without an answer. The level above it stands for an error, and the levels below it for
	// answer times, each twice the one before, from minRelativeTime on.
	levelUnanswered = 6
	minRelativeTime = 0.35
	// Number of the last class that an observation can name.
	maxObservedClass = 7
)

func (o observation) encode(b *strings.Builder) {
	level := min(levelUnanswered-1, max(0, math.Round(math.Log2(max(o.relativeTime, minRelativeTime)/minRelativeTime))))
	if o.failed {
		level = levelUnanswered + 1
	} else if o.missed {
		level = levelUnanswered
	}
	encode(b, o.server, 3)
	encode(b, uint64(o.class&7<<3|int(level)), 1)
}

func parseObservation(s string) (o observation, ok bool) {
	d, ok := decode(s)
	level := int(d & 7)
	return observation{server: d >> 6, class: int(d >> 3 & 7),
		relativeTime: minRelativeTime * math.Exp2(float64(min(level, levelUnanswered-1))),
		missed:       level >= levelUnanswered, failed: level > levelUnanswered}, ok
}

func (m ownerMessage) text() string {
	var b strings.Builder
	b.WriteByte(m.kind)
	encode(&b, m.key, 6)
	encode(&b, uint64(m.plan), 1)
	encode(&b, m.queryNo&4095, 2)
	for _, value := range m.values[:m.valueCount] {
		encode(&b, uint64(min(4095, max(0, 2048+math.Round(value*stepsPerUnit)))), 2)
	}
	if m.observationCount > 0 {
		b.WriteByte('.')
	}
	for _, o := range m.observations[:m.observationCount] {
		o.encode(&b)
	}
	return b.String()
}

func parseOwnerMessage(s string) (msg ownerMessage, ok bool) {
	s, encoded, _ := strings.Cut(s, ".")
	if len(encoded)%observationLen != 0 || len(encoded) > observationsPerMessage*observationLen {
		return msg, false
	}
	if len(s) < ownerMsgHeaderLen || len(s)%2 != 0 || (len(s)-ownerMsgHeaderLen)/2 > len(msg.values) {
		return msg, false
	}
	header, ok := decode(s[1:ownerMsgHeaderLen])
	msg.kind, msg.key, msg.plan, msg.queryNo = s[0], header>>18, int(header>>12&63), header&4095
	for s = s[ownerMsgHeaderLen:]; s != "" && ok; s = s[2:] {
		var value uint64
		value, ok = decode(s[:2])
		msg.values[msg.valueCount] = (float64(value) - 2048) / stepsPerUnit
		msg.valueCount++
	}
	for ; encoded != "" && ok; encoded = encoded[observationLen:] {
		msg.observations[msg.observationCount], ok = parseObservation(encoded[:observationLen])
		msg.observationCount++
	}
	return msg, ok
}

// sendOwnerMessage sends a message of the owner protocol to a gateway. It carries the last observations of this
// gateway.
func (g *Gateway) sendOwnerMessage(to int, kind byte, c *customer, queryNo uint64, values ...float64) {
	msg := ownerMessage{kind: kind, key: c.key, plan: c.planNo, queryNo: queryNo, valueCount: len(values)}
	copy(msg.values[:], values)
	msg.observations, msg.observationCount = g.recent.items, g.recent.count
	g.emit(SendToPeer{to, msg.text()})
}

// Broadcast messages consist of a header and an entry for each customer whose totals have changed.
const (
	// Length of a message in bytes, at most.
	maxMessageLen = 256
	// Version. Messages that begin with anything else are not understood and are dropped.
	msgVersion = "c"
	// Length of the header: version, epoch of two digits, sequence number of two digits.
	msgHeaderLen = 5
	// Length of an entry: customer of six digits, plan, use of two digits, demand of two digits, level.
	msgEntryLen = 12
	// Value of the level digit that stands for one burst.
	levelSteps = 30.0
)

func encodeHeader(b *strings.Builder, epoch, seq int) {
	b.WriteString(msgVersion)
	encode(b, uint64(epoch), 2)
	encode(b, uint64(seq), 2)
}

// parseHeader checks a whole message and reads its header.
func parseHeader(s string) (epoch, seq int, ok bool) {
	if len(s) < msgHeaderLen || s[:1] != msgVersion || (len(s)-msgHeaderLen)%msgEntryLen != 0 {
		return 0, 0, false
	}
	if _, ok = decode(s[1:]); !ok {
		return 0, 0, false
	}
	header, _ := decode(s[1:msgHeaderLen])
	return int(header >> 12), int(header & 4095), true
}

func (c *customer) encode(b *strings.Builder) {
	encode(b, c.key, 6)
	encode(b, uint64(c.planNo), 1)
	encode(b, uint64(int64(math.Round(c.usedSum)))&4095, 2)
	encode(b, uint64(int64(math.Round(c.demandSum)))&4095, 2)
	encode(b, uint64(min(63, math.Round(levelSteps*c.sharedLevel/max(c.plan.Burst, 1)))), 1)
}

// parseEntry reads an entry of a message that parseHeader has checked. The level is a multiple of the burst.
func parseEntry(s string) (key uint64, plan, used, demand int, level float64) {
	key, _ = decode(s[:6])
	rest, _ := decode(s[6:])
	return key, int(rest >> 30), int(rest >> 18 & 4095), int(rest >> 6 & 4095), float64(rest&63) / levelSteps
}
