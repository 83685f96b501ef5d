package confirm_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

func ExampleCheckWrite() {
	asked := time.Unix(1000, 0)
	primary := confirm.StatusSample{SentAt: asked, Status: group.Status{Term: 7, FencedTerm: 7, Received: 120}}
	behind := confirm.StatusSample{SentAt: asked, Status: group.Status{Term: 7, FencedTerm: 7, Received: 119}}
	var unreachable confirm.StatusSample
	fmt.Println(confirm.CheckWrite([]confirm.StatusSample{primary, behind, unreachable}, 7, 120))

	behind.Status.Received = 120
	fmt.Println(confirm.CheckWrite([]confirm.StatusSample{primary, behind, unreachable}, 7, 120))

	// A member that has promised a newer term does not confirm writes of the old one.
	behind.Status.FencedTerm = 8
	fmt.Println(confirm.CheckWrite([]confirm.StatusSample{primary, behind, unreachable}, 7, 120))
	// Output:
	// waiting
	// confirmed
	// waiting
}
