package gateway

// addressTable knows which server holds each address. Servers are replaced by new ones under new IDs, some at the address
// of one that has gone, and a list may report the new one before it reports the end of the old one. There is only one
// process at an address. So the old entry must not be used any more: what is sent there reaches the new process, which
// may be cold, draining or in another cell.
type addressTable struct {
	holders   map[string]serverEntry // by address
	addresses map[string]string      // of the holders, by ID
	displaced map[string]serverEntry // by ID: entries whose address another server has taken
}

func newAddressTable() addressTable {
	return addressTable{holders: map[string]serverEntry{}, addresses: map[string]string{}, displaced: map[string]serverEntry{}}
}

// apply updates the table with the entries of a list, and returns the entries with those that have lost their address
// marked as removed. These include servers that a list of changes does not name. full says that the list names all servers.
func (t *addressTable) apply(entries []serverEntry, full bool) []serverEntry {
	if full {
		t.keepListed(entries)
	}
	out := make([]serverEntry, 0, len(entries))
	for _, e := range entries {
		if e.State == stateNameRemoved || e.Addr == "" {
			t.release(e.ID)
			out = append(out, e)
			continue
		}
		holder, held := t.holders[e.Addr]
		switch {
		case !held || holder.ID == e.ID:
			t.hold(e)
		case t.hasLost(e, holder):
			t.displaced[e.ID] = e
			e.State = stateNameRemoved
		default:
			t.release(holder.ID)
			t.displaced[holder.ID] = holder
			t.hold(e)
			holder.State = stateNameRemoved
			out = append(out, holder)
		}
		out = append(out, e)
	}
	return out
}

// hasLost reports whether an entry belongs to an earlier process at its address than that of the holder: one that started
// earlier, or one that lost the address before and is reported again.
func (t *addressTable) hasLost(e, holder serverEntry) bool {
	lost, known := t.displaced[e.ID]
	return known && lost.Addr == e.Addr && lost.StartedMS == e.StartedMS || e.StartedMS > 0 && e.StartedMS < holder.StartedMS
}

// hold makes a server the holder of its address, and of no other.
func (t *addressTable) hold(e serverEntry) {
	t.release(e.ID)
	t.holders[e.Addr], t.addresses[e.ID] = e, e.Addr
}

// release forgets a server.
func (t *addressTable) release(id string) {
	delete(t.displaced, id)
	if addr, holds := t.addresses[id]; holds {
		delete(t.holders, addr)
		delete(t.addresses, id)
	}
}

// keepListed forgets the servers that a full list does not name.
func (t *addressTable) keepListed(entries []serverEntry) {
	listed := map[string]bool{}
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for id := range t.addresses {
		if !listed[id] {
			t.release(id)
		}
	}
	for id := range t.displaced {
		if !listed[id] {
			t.release(id)
		}
	}
}
