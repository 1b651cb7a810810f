package tstimeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"turmericshed"
)

// MaxLead is how far a remote stamp may run ahead of the local clock before
// it is ignored, so that one wrong clock does not drag the others along.
const MaxLead = 10 * time.Second

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	Wall    time.Time
	Logical uint32
}

// Before orders stamps by wall time, then logical count.
func (s Stamp) Before(o Stamp) bool {
	if !s.Wall.Equal(o.Wall) {
		return s.Wall.Before(o.Wall)
	}
	return s.Logical < o.Logical
}

// String returns the form that messages carry: Unix nanoseconds, a dot, the
// logical count.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall.UnixNano(), s.Logical)
}

// ParseStamp reads the form of Stamp.String. Errors: KindBadRequest.
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

// Next returns the stamp of a local event or of a message about to be sent.
// It is after every stamp returned or observed so far.
func (c *Clock) Next(now time.Time) Stamp {
	now = now.Round(0).UTC()
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe joins the stamp of a received message and reports whether it was
// taken; one that leads by more than MaxLead is not.
func (c *Clock) Observe(now time.Time, remote Stamp) bool {
	if remote.Wall.Sub(now) > MaxLead {
		return false
	}
	if c.last.Before(remote) {
		c.last = remote
	}
	return true
}
