package gateway

import (
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// interpret converts a command whose last byte was received at receivedAt into a request, or into a ready answer. It
// copies what it keeps of args, and reserves memory for that. Without memory for it, a request is refused: the loop may be
// far behind, and until it sees a command nothing else limits how much all clients together have sent. If refusal is not
// empty, requests are refused for that reason.
func interpret(cfg *Config, memory *byteBudget, args [][]byte, receivedAt time.Duration, refusal string) receivedCommand {
	if len(args) == 0 {
		return receivedCommand{reply: redcon.AppendError(nil, "ERR empty command")}
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 16)]))
	switch name {
	case "Q.ASK", "Q.DO":
		cmd, err := parseRequest(cfg, name, args, receivedAt)
		if err != nil {
			return receivedCommand{reply: redcon.AppendError(nil, "ERR "+err.Error())}
		}
		if refusal != "" {
			return receivedCommand{refusal: refusal}
		}
		reserved := cmd.size() + commandOverhead
		if !memory.tryReserve(reserved) {
			return receivedCommand{refusal: reasonMemory}
		}
		cmd.copyArgs()
		return receivedCommand{cmd: cmd, reserved: reserved}
	case "PING":
		if len(args) == 2 && refusal == reasonMemory {
			return receivedCommand{reply: noMemoryReply()}
		}
		if len(args) == 2 {
			return echo(memory, args[1])
		}
		return receivedCommand{reply: redcon.AppendString(nil, "PONG")}
	case "CLIENT", "SELECT":
		return receivedCommand{reply: redcon.AppendOK(nil)}
	}
	return receivedCommand{reply: redcon.AppendError(nil, "ERR unknown command")}
}

// echo returns the answer to a PING with a text.
func echo(memory *byteBudget, text []byte) receivedCommand {
	reserved := len(text) + encodeOverhead
	if !memory.tryReserve(reserved) {
		return receivedCommand{reply: noMemoryReply()}
	}
	return receivedCommand{reply: redcon.AppendBulk(nil, text), reserved: reserved}
}
