package affinity

// Size returns the number of servers and pairs in memory.
func (m *Model) Size() (servers, pairs int) { return len(m.servers), m.pairs }
