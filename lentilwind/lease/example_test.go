package lease_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/lease"
)

func ExampleGrants() {
	now := time.Unix(1000, 0)
	grants := lease.NewGrants(now.Add(-time.Minute), lease.Duration)
	grants.Grant("entry-1", now, 1)
	// Revision 2 has been accepted, but the entry may still act on revision 1.
	inForce, waitingFor, until := grants.InForce(now, 2)
	fmt.Println(inForce, waitingFor, until.Sub(now))
	grants.ReportApplied("entry-1", 2)
	inForce, _, _ = grants.InForce(now, 2)
	fmt.Println(inForce)
	// Output:
	// false [entry-1] 3.3s
	// true
}
