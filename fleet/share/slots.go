package share

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

const (
	// slotPeriod is the time in which the VMs together use the slots that are free: about what a report takes to all of them.
	slotPeriod = 100 * time.Millisecond
	// slotCheck is the time after which the free slots are counted again.
	slotCheck = 5 * time.Millisecond
	// slotGrowth is the factor by which a VM's part grows after a period in which slots were always free, and shrinks after one
	// in which none was.
	slotGrowth = 2.0
)

// Slots divides the free slots of a service whose runners know no ranks among the VMs, for their requests above the shares. All
// VMs see the same slots, and know of what the others have sent only a report later. VMs without such requests leave their
// parts free: the parts of the others grow from an equal one as long as slots stay free.
type Slots struct {
	Unusable bool // no runner was usable when they were counted

	credit      float64
	at          clock.Instant
	growth      float64 // of an equal part
	reviewedAt  clock.Instant
	least, most int // free slots since then
}

// Due reports whether the free slots are to be counted again.
func (s *Slots) Due(now clock.Instant) bool { return now.Sub(s.at) >= slotCheck }

// Refill adds this VM's part of the slots that are free now.
func (s *Slots) Refill(free, vms int, now clock.Instant) {
	s.review(free, vms, now)
	passed := min(slotPeriod, now.Sub(s.at)).Seconds() / slotPeriod.Seconds()
	part := float64(free) / float64(max(1, vms)) * s.growth
	s.credit = min(max(1, part), s.credit+passed*part)
	s.at = now
}

// review sets the growth at the end of a period. It starts anew if the slots were not counted for a whole period.
func (s *Slots) review(free, vms int, now clock.Instant) {
	switch {
	case now.Sub(s.at) > slotPeriod:
		s.growth = 1
	case now.Sub(s.reviewedAt) < slotPeriod:
		s.least, s.most = min(s.least, free), max(s.most, free)
		return
	case s.least > 0:
		s.growth *= slotGrowth
	case s.most == 0:
		s.growth /= slotGrowth
	}
	s.growth = max(1, min(s.growth, float64(vms)))
	s.reviewedAt, s.least, s.most = now, free, free
}

// Free reports whether this VM may use a slot.
func (s *Slots) Free() bool { return s.credit >= 1 }

// Take uses a slot.
func (s *Slots) Take() { s.credit-- }
