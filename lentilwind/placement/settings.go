package placement

import "time"

// Settings holds the parameters of placement. The leader and all entries must use the same.
type Settings struct {
	// Homes is the number of homes of a database: the entries that hold connections to it.
	Homes int
	// ShareLease is how long a share is leased, and so how long the share of a failed home stays unused.
	ShareLease time.Duration
	// FloorLease is how long a floor is leased, and so how long a home that cannot reach the leader keeps its floor.
	FloorLease time.Duration
	// FloorDivisor divides a database's connection limit into the floor of one home, the minimum that each home is granted.
	FloorDivisor int
	// DrainPeriod is how long before the end of a lease an entry stops starting transactions under it.
	DrainPeriod time.Duration
}

// DefaultSettings returns the settings for a fleet without special requirements.
func DefaultSettings() Settings {
	return Settings{
		Homes: 3, ShareLease: 10 * time.Second, FloorLease: 15 * time.Minute, FloorDivisor: 8, DrainPeriod: 2 * time.Second,
	}
}

// floorPerHome returns the floor of one home.
func (s *Settings) floorPerHome(connections int) int { return connections / s.FloorDivisor }

// totalFloor returns the number of connections that are set aside for floors. It leaves at least one other connection per
// home.
func (s *Settings) totalFloor(connections int) int {
	return max(0, min(s.Homes*s.floorPerHome(connections), connections-s.Homes))
}
