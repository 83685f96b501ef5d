package confirm_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

func ExampleWrite() {
	asked := time.Unix(1000, 0)
	primary := confirm.Sample{Start: asked, Status: group.Status{Term: 7, FencedTerm: 7, Received: 120}}
	behind := confirm.Sample{Start: asked, Status: group.Status{Term: 7, FencedTerm: 7, Received: 119}}
	var unheard confirm.Sample
	fmt.Println(confirm.Write([]confirm.Sample{primary, behind, unheard}, 7, 120))

	behind.Status.Received = 120
	fmt.Println(confirm.Write([]confirm.Sample{primary, behind, unheard}, 7, 120))

	// A member that has promised a newer term confirms nothing in the old one.
	behind.Status.FencedTerm = 8
	fmt.Println(confirm.Write([]confirm.Sample{primary, behind, unheard}, 7, 120))
	// Output:
	// waiting
	// confirmed
	// waiting
}
