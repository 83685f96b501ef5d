package fleet

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// ErrInvalidServer is wrapped by the errors of Server.Check.
var ErrInvalidServer = errors.New("fleet: invalid announcement")

// maxNameBytes limits the names in an announcement.
const maxNameBytes = 255

// Check returns an error if a field of an announcement has a value that cannot be meant.
//
// Announcements may come from writers that are no databases. What is accepted is journalled, sent to all processes and put into the start
// message of connections, where a blank or a line end would begin another field or message.
func (s Server) Check() error {
	if err := checkName("server", string(s.Name)); err != nil || s.Gone {
		return err
	}
	return checkName("service", string(s.Service))
}

func checkName(kind, name string) error {
	unreadable := func(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	switch {
	case name == "" || len(name) > maxNameBytes:
		return fmt.Errorf("%w: the name of the %s has %d bytes, allowed are 1 to %d", ErrInvalidServer, kind, len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unreadable):
		return fmt.Errorf("%w: the name of the %s is not readable text without blanks: %+q", ErrInvalidServer, kind, name)
	}
	return nil
}
