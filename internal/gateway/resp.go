package gateway

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf8"

	"winghatch/decide"
)

// Limits on the input from clients and servers. Each is checked against the header that announces it. So input that
// can't become a command or an answer is rejected at once, however much of it is still to arrive, and parsing partial
// input with each read examines a few headers and not all its bytes. (The RESP library waits for all bytes of a huge
// or negative length, and panics on some lengths.)
const (
	maxHeaderBytes  = 16                              // bytes of a header; "$65536\r\n" takes 8
	maxArgs         = 16                              // arguments of a command; the longest that clients use has five
	maxValueBytes   = 64 << 10                        // bytes of a value
	maxCommandBytes = maxValueBytes + 4<<10           // bytes of a complete command
	maxFieldBytes   = 4 << 10                         // bytes of usage figures, of a load report and of an error line
	maxAnswerBytes  = maxValueBytes + 3*maxFieldBytes // bytes of a complete answer
)

var errFraming = errors.New("protocol error: expected an array of bulk strings within the limits")

// parseHeader parses a RESP header of the given kind, such as "$12\r\n", whose number lies within minimum and
// maximum. used is 0 if b ends before the header does.
func parseHeader(b []byte, kind byte, minimum, maximum int) (n, used int, err error) {
	if len(b) == 0 {
		return 0, 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), maxHeaderBytes)], '\n')
	if b[0] != kind || (end < 0 && len(b) >= maxHeaderBytes) || (end > 0 && b[end-1] != '\r') {
		return 0, 0, errFraming
	}
	if end < 0 {
		return 0, 0, nil
	}
	n, err = strconv.Atoi(string(b[1 : end-1]))
	if err != nil || n < minimum || n > maximum || b[1] == '+' {
		return 0, 0, errFraming
	}
	return n, end + 1, nil
}

// parseBulk parses a bulk string. used is 0 if b ends before the string does. A null string, allowed if minLen is -1,
// returns a nil value.
func parseBulk(b []byte, minLen, maxLen int) (value []byte, used int, err error) {
	n, start, err := parseHeader(b, '$', minLen, maxLen)
	if err != nil || start == 0 || n < 0 {
		return nil, start, err
	}
	end := start + n
	if len(b) > end && b[end] != '\r' || len(b) > end+1 && b[end+1] != '\n' {
		return nil, 0, errFraming
	}
	if len(b) < end+2 {
		return nil, 0, nil
	}
	return b[start:end], end + 2, nil
}

// parseCommand parses a command. used is 0 if b ends before the command does. The arguments share memory with b.
func parseCommand(b []byte, reuse [][]byte) (used int, args [][]byte, err error) {
	args = reuse[:0]
	count, offset, err := parseHeader(b, '*', 0, maxArgs)
	if err != nil || offset == 0 {
		return 0, args, err
	}
	for range count {
		arg, n, err := parseBulk(b[offset:], 0, min(maxValueBytes, maxCommandBytes-offset))
		if err != nil || n == 0 {
			return 0, args, err
		}
		args, offset = append(args, arg), offset+n
	}
	return offset, args, nil
}

// missingBytes returns how many bytes of the last command in b are known to be missing, at least 1 if a command has
// begun. It returns 0 if b ends with a complete command or holds malformed input.
func missingBytes(b []byte) int {
	for len(b) > 0 {
		used, _, err := parseCommand(b, nil)
		if err != nil {
			return 0
		}
		if used == 0 {
			return missingInCommand(b)
		}
		b = b[used:]
	}
	return 0
}

// missingInCommand is missingBytes for a single incomplete command.
func missingInCommand(b []byte) int {
	count, offset, err := parseHeader(b, '*', 0, maxArgs)
	for range count {
		if err != nil || offset >= len(b) {
			break
		}
		n, used, headerErr := parseHeader(b[offset:], '$', 0, maxValueBytes)
		if headerErr != nil || used == 0 {
			break
		}
		offset += used + n + len("\r\n")
	}
	return max(1, offset-len(b))
}

var errMalformedAnswer = errors.New("malformed answer")

// answer is a server's answer to a request.
type answer struct {
	outcome decide.Outcome
	value   []byte // RESP bulk string that is sent to the client
	inSync  bool   // the answer was parsed to its end, so the next answer can be told apart from it
}

// parseAnswer parses a server's answer. An answer is either an array of exactly three elements (the value, the usage
// figures or null, the load report or null) or an error line. used is 0 if b ends before the answer does. Malformed
// figures or a malformed load report leave the connection out of sync, but the value is still valid.
func parseAnswer(b []byte) (a answer, used int, err error) {
	if len(b) == 0 || b[0] != '-' {
		return parseServedAnswer(b)
	}
	outcome, used, err := parseErrorLine(b)
	return answer{outcome: outcome, inSync: true}, used, err
}

// parseErrorLine parses a line such as "-BUSY" or "-ERR failed queue=2".
func parseErrorLine(b []byte) (outcome decide.Outcome, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxFieldBytes)], '\n')
	if end < 0 && len(b) < maxFieldBytes {
		return 0, 0, nil
	}
	if end < 2 || b[end-1] != '\r' || !utf8.Valid(b[:end]) {
		return 0, 0, errMalformedAnswer
	}
	code, _, _ := bytes.Cut(b[1:end-1], []byte(" "))
	if len(code) == 0 || bytes.ContainsFunc(code, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return 0, 0, errMalformedAnswer
	}
	if string(code) == "BUSY" {
		return decide.Full, end + 1, nil
	}
	return decide.Error, end + 1, nil
}

// parseServedAnswer parses an answer that is an array.
func parseServedAnswer(b []byte) (a answer, used int, err error) {
	_, start, err := parseHeader(b, '*', 3, 3)
	if err != nil || start == 0 {
		return a, 0, err
	}
	value, n, err := parseBulk(b[start:], 0, maxValueBytes)
	if err != nil || n == 0 {
		return a, 0, err
	}
	// The value is sent to the client together with its header. A client that parses lengths strictly would reject
	// "$012\r\n" or "$-0\r\n" as a protocol error, and close the connection with all its pending answers.
	if n != len("$\r\n\r\n")+len(strconv.Itoa(len(value)))+len(value) {
		return a, 0, errMalformedAnswer
	}
	offset := start + n
	a = answer{decide.OK, b[start:offset], true}
	for range 2 { // usage figures, load report
		_, n, err := parseBulk(b[offset:], -1, maxFieldBytes)
		if err != nil {
			a.inSync = false
			return a, len(b), nil
		}
		if n == 0 {
			return a, 0, nil
		}
		offset += n
	}
	return a, offset, nil
}
