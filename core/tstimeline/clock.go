package tstimeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"turmericshed"
)

// MaxLead is the maximum time by which a remote stamp may be ahead of the local clock.
// Stamps further ahead are ignored, so that one wrong clock does not advance the
// others.
const MaxLead = 10 * time.Second

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	Wall    time.Time
	Logical uint32
}

// Before reports whether s precedes o, by wall time and then by logical count.
func (s Stamp) Before(o Stamp) bool {
	if !s.Wall.Equal(o.Wall) {
		return s.Wall.Before(o.Wall)
	}
	return s.Logical < o.Logical
}

// String returns the stamp as encoded in messages: Unix nanoseconds, a dot, the logical
// count.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall.UnixNano(), s.Logical)
}

// ParseStamp parses a stamp in the format of Stamp.String. Errors: KindBadRequest.
func ParseStamp(text string) (Stamp, error) {
	wall, logical, ok := strings.Cut(text, ".")
	ns, err := strconv.ParseInt(wall, 10, 64)
	if !ok || err != nil {
		return Stamp{}, turmericshed.NewError(turmericshed.KindBadRequest, "bad clock stamp %q", text)
	}
	n, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Stamp{}, turmericshed.NewError(turmericshed.KindBadRequest, "bad clock stamp %q", text)
	}
	return Stamp{Wall: time.Unix(0, ns).UTC(), Logical: uint32(n)}, nil
}

// Clock is a hybrid logical clock (Kulkarni et al., "Logical Physical
// Clocks", 2014). The zero value is ready to use.
type Clock struct {
	last Stamp
}

// Next returns the stamp of a local event or of a message about to be sent. It is
// greater than every stamp returned or observed so far.
func (c *Clock) Next(now time.Time) Stamp {
	now = now.Round(0).UTC()
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe merges the stamp of a received message into the clock and reports whether it
// was accepted. A stamp that is ahead by more than MaxLead is rejected.
func (c *Clock) Observe(now time.Time, remote Stamp) bool {
	if remote.Wall.Sub(now) > MaxLead {
		return false
	}
	if c.last.Before(remote) {
		c.last = remote
	}
	return true
}
