package affinity

// Size returns the number of servers and pairs that the model holds.
func (m *Model) Size() (servers, pairs int) { return len(m.servers), m.pairCount }
