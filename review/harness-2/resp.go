package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// encodeCommand returns a command as a RESP array of bulk strings.
func encodeCommand(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// readLine reads a line and returns it without its line ending.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}

// readBulk reads a bulk string behind its header.
func readBulk(r *bufio.Reader, header string) (string, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(header, "$"))
	if err != nil || n < 0 || header[0] != '$' {
		return "", fmt.Errorf("unexpected header %q", header)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

// readCommand reads a command.
func readCommand(r *bufio.Reader) ([]string, error) {
	header, err := readLine(r)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimPrefix(header, "*"))
	if err != nil || header[0] != '*' {
		return nil, fmt.Errorf("unexpected header %q", header)
	}
	words := make([]string, 0, count)
	for range count {
		header, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if header == "" {
			return nil, errors.New("empty header")
		}
		word, err := readBulk(r, header)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// reply is a gateway's answer to a command.
type reply struct {
	line  string // the answer's first line
	value string // of a bulk string
}

func (a reply) served() bool  { return strings.HasPrefix(a.line, "$") }
func (a reply) refused() bool { return strings.HasPrefix(a.line, "-BUSY") }

// result names the answer's meaning.
func (a reply) result() string {
	switch {
	case a.served():
		return "served"
	case a.refused():
		return "refused"
	}
	return "failed"
}

// readReply reads an answer of a gateway.
func readReply(r *bufio.Reader) (reply, error) {
	line, err := readLine(r)
	if err != nil || !strings.HasPrefix(line, "$") {
		return reply{line: line}, err
	}
	value, err := readBulk(r, line)
	return reply{line, value}, err
}

// listValue returns the value of a name in a request's list of names and values.
func listValue(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if key, value, ok := strings.Cut(pair, "="); ok && key == name {
			return value
		}
	}
	return ""
}
