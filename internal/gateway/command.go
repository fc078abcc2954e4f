package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/decide"
)

const (
	maxIDBytes        = 128         // length limit of a request's id, in bytes
	maxKeyBytes       = 64          // length limit of an idempotency key, in bytes
	maxListBytes      = 1 << 10     // length limit of the list of names and values, in bytes
	defaultMaxTimeout = time.Minute // longest client timeout if the class has no deadline
	defaultMaxUnits   = 1 << 10     // limit of a request's units if the settings have none
	maxCustomer       = 1<<33 - 1   // largest customer id
	encodeOverhead    = 64          // room for the RESP headers of a command, in bytes
)

// command is a request as received from a client.
type command struct {
	args                   [][]byte       // as received; the list at listArg is forwarded with a new value of d
	id                     string         // chosen by the client
	dValueStart, dValueEnd int            // where the value of d is in the list
	receivedAt             time.Duration  // when its last byte was received, or earlier if that is not known
	timeout                time.Duration  // the value of d: how long the client waits
	maxTimeout             time.Duration  // the class's limit on timeout
	request                decide.Request // ID and Deadline are not set
	key                    string
	seenNames              map[string]bool // names found in the list
}

// Positions of the arguments of Q.ASK and Q.DO. A body may follow the list.
const (
	customerArg = 1
	idArg       = 2
	listArg     = 3
)

// size returns the total size of the arguments in bytes.
func (c *command) size() int {
	n := 0
	for _, a := range c.args {
		n += len(a)
	}
	return n
}

// encode returns the command as sent to a server, with remaining as the value of d.
func (c *command) encode(remaining time.Duration) []byte {
	b := make([]byte, 0, c.size()+encodeOverhead)
	b = redcon.AppendArray(b, len(c.args))
	for i, a := range c.args {
		if i != listArg {
			b = redcon.AppendBulk(b, a)
			continue
		}
		var digits [20]byte
		d := strconv.AppendInt(digits[:0], int64(max(remaining/time.Millisecond, 1)), 10)
		b = append(b, '$')
		beforeValue, afterValue := a[:c.dValueStart], a[c.dValueEnd:]
		b = strconv.AppendInt(b, int64(len(beforeValue)+len(d)+len(afterValue)), 10)
		b = append(b, '\r', '\n')
		b = append(append(append(b, beforeValue...), d...), afterValue...)
		b = append(b, '\r', '\n')
	}
	return b
}

// parseRequest parses a request whose last byte was received at receivedAt. The request shares memory with args until
// copyArgs is called.
func parseRequest(cfg *Config, name string, args [][]byte, receivedAt time.Duration) (*command, error) {
	if len(args) <= listArg || len(args) > listArg+2 {
		return nil, errors.New("wrong number of arguments")
	}
	if len(args[0]) != len(name) { // ToUpper maps 'ſ', which takes two bytes, to an ASCII letter
		return nil, errors.New("the command's name is not in ASCII")
	}
	customer, id, list := args[customerArg], args[idArg], args[listArg]
	if n, err := strconv.ParseUint(string(customer), 16, 64); err != nil || len(customer) != 16 || n > maxCustomer {
		return nil, errors.New("the customer is not 16 hex digits, below 2^33")
	}
	if len(id) == 0 || len(id) > maxIDBytes || len(list) > maxListBytes {
		return nil, errors.New("the id or the list is missing or too long")
	}
	c := &command{args: args, id: string(id), receivedAt: receivedAt}
	c.request = decide.Request{Customer: string(customer), Units: 1, Write: name == "Q.DO"}
	if err := c.parseList(); err != nil {
		return nil, err
	}
	if err := c.validate(cfg, name); err != nil {
		return nil, err
	}
	c.seenNames = nil
	return c, nil
}

// copyArgs copies the arguments, so that the command shares no memory with the reader's buffer.
func (c *command) copyArgs() { c.args = cloneArgs(c.args) }

// dropArgs frees the arguments of a request that will not be sent again.
func (c *command) dropArgs() { c.args = nil }

// validate checks a request against the settings. A request that passes counts towards the customer's demand, is
// reported to peers and is sent to servers. So a value that no regular client sends, under the id of a regular
// customer, must be rejected here: it would distort that customer's share, or count against the server that rejects
// it.
func (c *command) validate(cfg *Config, name string) error {
	class, settings := cfg.class(c.request.Class), &cfg.Settings.Decide
	if class == nil || !cfg.hasPlan(c.request.Plan) {
		return errors.New("unknown class or plan")
	}
	if (class.Effect == decide.Safe) != (name == "Q.ASK") {
		return errors.New("the class goes with the other command")
	}
	if class.Effect == decide.Keyed && c.key == "" {
		return errors.New("k is missing")
	}
	if c.maxTimeout = class.Deadline; c.maxTimeout <= 0 {
		c.maxTimeout = defaultMaxTimeout
	}
	maxUnits := settings.MaxUnits
	if maxUnits == 0 {
		maxUnits = defaultMaxUnits
	}
	switch {
	// d is in whole milliseconds, so clients may have rounded it up
	case c.timeout <= 0 || c.timeout >= c.maxTimeout+time.Millisecond:
		return errors.New("d is out of range")
	case c.request.Units < 1 || c.request.Units > maxUnits:
		return errors.New("units are out of range")
	case c.seenNames["spread"] && (c.request.Spread < 1 || c.request.Spread > settings.Gateways), c.request.First >= settings.Gateways:
		return errors.New("the set is out of range")
	}
	return nil
}

// cloneArgs copies the arguments into one buffer.
func cloneArgs(args [][]byte) [][]byte {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	buf, out := make([]byte, 0, n), make([][]byte, len(args))
	for i, a := range args {
		start := len(buf)
		buf = append(buf, a...)
		out[i] = buf[start:len(buf):len(buf)]
	}
	return out
}

// parseList parses the list of names and values. Unknown names are forwarded as they are.
func (c *command) parseList() error {
	list := c.args[listArg]
	c.seenNames, c.dValueEnd = map[string]bool{}, -1
	for offset := 0; offset < len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[offset:], ','); i >= 0 {
			end = offset + i
		}
		name, value, ok := bytes.Cut(list[offset:end], []byte("="))
		if !ok {
			return errors.New("the list holds no name and value")
		}
		if string(name) == "d" {
			c.dValueStart, c.dValueEnd = end-len(value), end
		}
		if err := c.setValue(string(name), string(value)); err != nil {
			return err
		}
		offset = end + 1
	}
	if c.dValueEnd < 0 {
		return errors.New("d is missing")
	}
	return nil
}

// setValue stores the value of a name. Each name may occur once.
func (c *command) setValue(name, value string) (err error) {
	if c.seenNames[name] {
		return fmt.Errorf("%s comes twice", name)
	}
	c.seenNames[name] = true
	switch name {
	case "c":
		c.request.Class = value
	case "t":
		c.request.Plan = value
	case "d":
		var ms float64
		ms, err = parseNumber(value)
		c.timeout = time.Duration(ms * float64(time.Millisecond))
	case "k":
		if c.key = value; len(value) == 0 || len(value) > maxKeyBytes {
			err = errRange
		}
	case "r":
		c.request.ClientRetry = value == "1"
	case "units":
		c.request.Units, err = parseNumber(value)
	case "spread":
		c.request.Spread, err = parseInteger(value)
	case "first":
		c.request.First, err = parseInteger(value)
	}
	if err != nil {
		return fmt.Errorf("the value of %s can't be used", name)
	}
	return nil
}

const maxNumber = 1 << 20 // limit of any number in a list; larger numbers exceed every setting

var errRange = errors.New("out of range")

// parseNumber parses decimal digits with an optional decimal point. It rejects signs, exponents and words such as
// "inf".
func parseNumber(s string) (float64, error) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, errRange
	}
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && v > maxNumber {
		err = errRange
	}
	return v, err
}

// parseInteger parses a decimal integer of at most 20 bits.
func parseInteger(s string) (int, error) {
	v, err := strconv.ParseUint(s, 10, 20)
	return int(v), err
}
