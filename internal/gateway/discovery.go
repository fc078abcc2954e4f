package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"winghatch/decide"
)

// maxServerListBytes is the size limit of a server list, in bytes: about 70,000 servers.
const maxServerListBytes = 8 << 20

// errListTooLong means that a server list is longer than maxServerListBytes.
var errListTooLong = errors.New("server list is too long")

// serverList is a list of servers in discovery's JSON format.
type serverList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []serverEntry `json:"servers"`
}

type serverEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// stateNameRemoved is the state of a server that has gone, as discovery names it.
const stateNameRemoved = "removed"

func (e *serverEntry) state() (decide.State, error) {
	switch e.State {
	case "up":
		return decide.Serving, nil
	case "draining":
		return decide.Draining, nil
	case stateNameRemoved:
		return decide.Removed, nil
	}
	return decide.Removed, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
}

// UnmarshalJSON decodes an entry and rejects an invalid one, which aborts the decoding of the whole list. A list is
// accepted as a whole or not at all, and a list of millions of empty entries must not be held in memory, where each
// entry takes fifty times its size on the wire.
func (e *serverEntry) UnmarshalJSON(raw []byte) error {
	type plain serverEntry
	if err := json.Unmarshal(raw, (*plain)(e)); err != nil {
		return err
	}
	if e.ID == "" {
		return errors.New("server without an id")
	}
	state, err := e.state()
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != decide.Removed {
		return fmt.Errorf("server %q: %w", e.ID, err)
	}
	return nil
}

// readList reads a list of length bytes, or to the end of body if length is negative.
func readList(body io.Reader, length int64) (serverList, error) {
	if length > maxServerListBytes {
		return serverList{}, fmt.Errorf("%w: %d bytes, at most %d are accepted", errListTooLong, length, maxServerListBytes)
	}
	raw, err := io.ReadAll(io.LimitReader(body, maxServerListBytes+1))
	if err != nil {
		return serverList{}, fmt.Errorf("reading the server list: %w", err)
	}
	if len(raw) > maxServerListBytes {
		return serverList{}, fmt.Errorf("%w: %d bytes and more, at most %d are accepted", errListTooLong, maxServerListBytes,
			maxServerListBytes)
	}
	var list serverList
	if err := json.Unmarshal(raw, &list); err != nil {
		return serverList{}, fmt.Errorf("decoding the server list: %w", err)
	}
	return list, nil
}

// decideServer converts the entry to the decision engine's type. Start times count from the Unix epoch, as the loop's
// clock does.
func (e *serverEntry) decideServer() decide.Server {
	state, err := e.state()
	if err != nil {
		state = decide.Removed // unreachable for a decoded list, whose states UnmarshalJSON has checked
	}
	return decide.Server{ID: e.ID, Address: e.Addr, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: state,
		Started: time.Duration(e.StartedMS) * time.Millisecond, Weight: e.Weight}
}
