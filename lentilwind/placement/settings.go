package placement

import "time"

// Settings are the rules of placement, the same at the leader and at all entries.
type Settings struct {
	// Homes is the number of homes of a database.
	Homes int
	// ShareLease is how long a dead home's share stays unused.
	ShareLease time.Duration
	// FloorLease is how long a home that cannot reach the leader goes on with its floor.
	FloorLease time.Duration
	// FloorDivisor is the limit's part that a floor is.
	FloorDivisor int
	// DrainPeriod is how long before the end of a lease an entry begins no more transactions under it.
	DrainPeriod time.Duration
}

// DefaultSettings returns the settings of a fleet that says nothing else.
func DefaultSettings() Settings {
	return Settings{
		Homes: 3, ShareLease: 10 * time.Second, FloorLease: 15 * time.Minute, FloorDivisor: 8, DrainPeriod: 2 * time.Second,
	}
}

// floor returns the floor of one home.
func (s *Settings) floor(connections int) int { return connections / s.FloorDivisor }

// floors returns the connections that are set aside for floors; they leave each home at least one other.
func (s *Settings) floors(connections int) int {
	return max(0, min(s.Homes*s.floor(connections), connections-s.Homes))
}
