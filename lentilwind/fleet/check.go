package fleet

import (
	"errors"
	"fmt"

	"lentilwind.dev/lentilwind/protocol"
)

// Limits on the numbers in an announcement.
const (
	maxSlots = 1 << 16
	// maxBirth is the year 10000 in Unix milliseconds.
	maxBirth = 253_402_300_800_000
)

// Check returns an error that wraps protocol.ErrInvalidAnnouncement if a field has a value that cannot be meant.
func (s Server) Check() error {
	if err := protocol.CheckName("server", string(s.Name)); err != nil || s.Gone {
		return err
	}
	err := errors.Join(
		protocol.CheckName("service", string(s.Service)), protocol.CheckName("data centre", string(s.DataCentre)), protocol.CheckAddress(s.Address),
	)
	switch {
	case err != nil:
		return err
	case s.Slots < 1 || s.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots, allowed are 1 to %d", protocol.ErrInvalidAnnouncement, s.Slots, maxSlots)
	case s.Sequence > protocol.MaxSequence:
		return fmt.Errorf("%w: sequence %d, allowed is up to %d", protocol.ErrInvalidAnnouncement, s.Sequence, uint64(protocol.MaxSequence))
	case s.Incarnation < 0 || s.Incarnation > maxBirth:
		return fmt.Errorf("%w: incarnation %d, allowed are 0 to %d", protocol.ErrInvalidAnnouncement, s.Incarnation, int64(maxBirth))
	}
	return nil
}
