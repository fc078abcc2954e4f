package gateway

import "bytes"

// commandSkipper reads a command for which there is no memory: it keeps short arguments and discards the rest as it
// arrives. So the command can be refused in its place in the order of answers. In a valid request only the body is too
// long to be kept.
type commandSkipper struct {
	args          [][]byte // the arguments so far; nil for those that are discarded
	keptBytes     int      // total size of args, at most smallReadBuffer
	argsLeft      int      // arguments that have not begun yet
	argBytesLeft  int      // bytes that are missing of the current argument, with its line end; 0 between arguments
	commandLength int      // length of the command up to the end of the current argument
}

// newCommandSkipper begins to skip the incomplete command at the start of b. It returns how many bytes of b it has used.
func newCommandSkipper(b []byte) (s *commandSkipper, used int, err error) {
	count, used, err := parseHeader(b, '*', 0, maxArgs)
	if err != nil {
		return nil, 0, err
	}
	s = &commandSkipper{argsLeft: count, commandLength: used}
	n, _, err := s.skip(b[used:])
	return s, used + n, err
}

// skip discards the next bytes of the command. It returns how many bytes of b belong to it and are no longer needed, and
// whether the command is complete.
func (s *commandSkipper) skip(b []byte) (used int, done bool, err error) {
	for s.argBytesLeft > 0 || s.argsLeft > 0 {
		if s.argBytesLeft == 0 {
			n, err := s.beginArg(b[used:])
			if err != nil || n == 0 {
				return used, false, err
			}
			used += n
			continue
		}
		n, err := s.discard(b[used:])
		if err != nil || n == 0 {
			return used, false, err
		}
		used += n
	}
	return used, true, nil
}

// beginArg reads the next argument if b holds all of it, else its header. It returns how many bytes it has used: 0 if b
// ends before the header does.
func (s *commandSkipper) beginArg(b []byte) (used int, err error) {
	maxLength := min(maxValueBytes, maxCommandBytes-s.commandLength)
	arg, used, err := parseBulk(b, 0, maxLength)
	if err != nil {
		return 0, err
	}
	if used > 0 {
		s.argsLeft--
		s.commandLength += used
		s.keep(arg)
		return used, nil
	}
	length, used, err := parseHeader(b, '$', 0, maxLength)
	if err != nil || used == 0 {
		return 0, err
	}
	s.argsLeft--
	s.argBytesLeft = length + len("\r\n")
	s.commandLength += used + s.argBytesLeft
	s.args = append(s.args, nil)
	return used, nil
}

// keep appends a copy of a complete argument, or nil if it is too long to be kept.
func (s *commandSkipper) keep(arg []byte) {
	if s.keptBytes+len(arg) > smallReadBuffer {
		s.args = append(s.args, nil)
		return
	}
	s.keptBytes += len(arg)
	s.args = append(s.args, bytes.Clone(arg))
}

// discard uses bytes of the current argument. The line end is checked as parseBulk does, and used only as a whole.
func (s *commandSkipper) discard(b []byte) (used int, err error) {
	content := s.argBytesLeft - len("\r\n")
	if content > 0 {
		used = min(content, len(b))
		s.argBytesLeft -= used
		return used, nil
	}
	if len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n' {
		return 0, errFraming
	}
	if len(b) < len("\r\n") {
		return 0, nil
	}
	s.argBytesLeft = 0
	return len("\r\n"), nil
}
