package protocol

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

// ErrInvalidAnnouncement is wrapped by the errors about announcements with values that cannot be meant.
//
// Announcements may come from writers that are no databases. What is accepted is stored and sent to all processes, and names go into the start
// message of connections, where a blank or a line end would begin another field or message.
var ErrInvalidAnnouncement = errors.New("protocol: invalid announcement")

// Limits on the values in an announcement. They leave room for later terms and incarnations.
const (
	maxNameBytes   = 255
	maxSlots       = 1024
	maxTerm        = 1 << 53
	maxPosition    = 1 << 53
	maxIncarnation = 1 << 62
	// MaxSequence is the highest sequence number of an announcement; JSON of any writer holds it exactly.
	MaxSequence = 1<<53 - 1
)

// CheckName returns an error unless a name is readable text without blanks; kind is what it names.
func CheckName(kind, name string) error {
	unreadable := func(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	switch {
	case name == "" || len(name) > maxNameBytes:
		return fmt.Errorf("%w: the name of the %s has %d bytes, allowed are 1 to %d", ErrInvalidAnnouncement, kind, len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unreadable):
		return fmt.Errorf("%w: the name of the %s is not readable text without blanks: %+q", ErrInvalidAnnouncement, kind, name)
	}
	return nil
}

// CheckAddress returns an error unless an address is an IP and a port in their usual spelling, so that two announcements of one address are
// recognised as such.
func CheckAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%w: address %q: %w", ErrInvalidAnnouncement, address, err)
	}
	ip := parsed.Addr()
	if parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || ip != ip.Unmap() || parsed.String() != address {
		return fmt.Errorf("%w: address %q is not the address of one database", ErrInvalidAnnouncement, address)
	}
	return nil
}

// Check returns an error if a field has a value that cannot be meant. The data centre is not looked at: it is that of the inventory.
func (a *Announcement) Check() error {
	err := errors.Join(CheckName("service", string(a.Service)), CheckName("server", string(a.Server)), CheckAddress(a.Address))
	switch {
	case err != nil:
		return err
	case a.Incarnation > maxIncarnation || a.Sequence > MaxSequence:
		return fmt.Errorf("%w: incarnation %d or sequence %d is too large", ErrInvalidAnnouncement, a.Incarnation, a.Sequence)
	case len(a.Slots) > maxSlots:
		return fmt.Errorf("%w: %d slots, allowed are up to %d", ErrInvalidAnnouncement, len(a.Slots), maxSlots)
	}
	for _, s := range a.Slots {
		if s.Term > maxTerm || s.FencedTerm > maxTerm || s.Received > maxPosition || s.Applied > maxPosition || s.Lag < 0 {
			return fmt.Errorf("%w: slot %d has a term, position or lag that is out of range", ErrInvalidAnnouncement, s.Slot)
		}
	}
	return nil
}
