package coldstart

import (
	"strings"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/quota"
)

// accountPrefix contains a blank, which no name of a workspace does.
const accountPrefix = "cold database "

// Account returns the account of a database in the quota's ledger.
func Account(server group.Server) inventory.WorkspaceName {
	return inventory.WorkspaceName(accountPrefix + string(server))
}

// Server returns the database of an account, and false if the name is that of a workspace.
func Server(account inventory.WorkspaceName) (group.Server, bool) {
	name, found := strings.CutPrefix(string(account), accountPrefix)
	return group.Server(name), found
}

// burstFraction is the burst as a part of the statements of a second. Admitted statements may still wait in a queue and reach the database
// together, so the burst is small.
const burstFraction = 0.1

// Limits returns the limits of an account for a bound in statements a second.
func Limits(rate float64) quota.Limits {
	return quota.Limits{Rate: rate, Burst: max(1, burstFraction*rate)}
}
