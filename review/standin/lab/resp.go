package lab

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Command encodes a command.
func Command(args ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return []byte(b.String())
}

// ReadCommand reads a command.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "*")))
	if err != nil || line[0] != '*' {
		return nil, fmt.Errorf("unreadable command %q", line)
	}
	args := make([]string, 0, n)
	for range n {
		arg, err := readBulk(r)
		if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	return args, nil
}

func readBulk(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
	if err != nil || line[0] != '$' || n < 0 {
		return "", fmt.Errorf("unreadable bulk string %q", line)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

// Reply is an answer of a gateway.
type Reply struct {
	Kind  string // served, refused or failed
	Value string // of a served request, else the line
}

// ReadReply reads an answer of a gateway.
func ReadReply(r *bufio.Reader) (Reply, error) {
	first, err := r.Peek(1)
	if err != nil {
		return Reply{}, err
	}
	if first[0] == '$' {
		value, err := readBulk(r)
		return Reply{"served", value}, err
	}
	line, err := r.ReadString('\n')
	if err != nil {
		return Reply{}, err
	}
	line = strings.TrimSpace(line)
	if strings.HasPrefix(line, "-BUSY") {
		return Reply{"refused", line}, nil
	}
	return Reply{"failed", line}, nil
}
