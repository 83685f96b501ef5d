package hlc_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/hlc"
)

func ExampleClock() {
	wall := time.UnixMilli(1000)
	var sender, receiver hlc.Clock
	sent := sender.Now(wall)
	// The receiver's wall clock is two seconds behind, yet its next timestamp is later than that of the message.
	behind := wall.Add(-2 * time.Second)
	receiver.Observe(behind, sent)
	fmt.Println(receiver.Now(behind) > sent)
	// Output:
	// true
}
