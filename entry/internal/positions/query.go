package positions

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
)

func waitQuery(slot group.Slot, position group.Position, limit time.Duration) string {
	return fmt.Sprintf("SELECT * FROM lentilwind_wait(%d, %d, %d)", slot, position, limit.Milliseconds())
}
