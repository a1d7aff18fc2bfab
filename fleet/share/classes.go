package share

import (
	"math/bits"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const (
	// floorShare is the part of what an organisation gets on average, from 0 to 1, that each class of its requests gets in any
	// case. There are three kinds of classes with a floor, so that the floors together don't pass the share.
	floorShare = 0.25
	// maxClasses limits the classes that a VM tells apart.
	maxClasses = 4096
)

// class is a set of requests of one organisation at this VM.
type class struct {
	Key
	kind  classKind
	value string
	size  int
}

type classKind int

const (
	ofCallers classKind = iota // all
	ofRank
	ofRoute
	ofSize
	ofModel
)

func (r Request) callers() class { return class{Key: r.Key, kind: ofCallers} }

func (r Request) rank() class { return class{Key: r.Key, kind: ofRank, size: r.Rank} }

// withFloor returns the classes of a request that must not starve: its route, its size and its model.
func (r Request) withFloor() [3]class {
	return [3]class{
		{Key: r.Key, kind: ofRoute, value: r.Route},
		{Key: r.Key, kind: ofSize, size: (bits.Len(uint(max(0, r.PromptTokens))) + 1) / 2},
		{Key: r.Key, kind: ofModel, value: string(r.Model)},
	}
}

// parts holds what the classes of requests have asked and got at this VM. Each VM gives its own callers the organisation's part of
// what they ask for, so that no zone starves, and needs no message for that.
type parts struct {
	sums  map[class]sums
	ranks map[Key]map[int]bool // that ask
}

func newParts() parts { return parts{sums: make(map[class]sums), ranks: make(map[Key]map[int]bool)} }

// add adds stored sums of a request.
func (p *parts) add(r Request, s sums) {
	p.addTo(r.callers(), s)
	for _, c := range r.withFloor() {
		p.addTo(c, s)
	}
	if p.addTo(r.rank(), s) {
		if p.ranks[r.Key] == nil {
			p.ranks[r.Key] = make(map[int]bool)
		}
		p.ranks[r.Key][r.Rank] = true
	}
}

func (p *parts) addTo(c class, s sums) bool {
	before, known := p.sums[c]
	if !known && len(p.sums) >= maxClasses {
		return false
	}
	p.sums[c] = before.plus(s, 1)
	return true
}

// room reports whether a class that gets a part of what it asks for, from 0 to 1, has got so little that a request of a stored
// cost is within it. Spread rounds up or down, so that VMs with few requests don't always give more or less than the part.
func (s sums) room(part, cost, spread float64) bool {
	return s.within+cost <= part*(s.asked+cost)+spread*cost
}

// within reports whether a request is within its organisation's share: its class is below its floor, or the callers of this VM and
// the rank of the request have room in the organisation's part of what they ask for.
func (p *parts) within(r Request, part, cost float64) bool {
	for _, c := range r.withFloor() {
		if p.sums[c].room(floorShare*part, cost, r.Spread) {
			return true
		}
	}
	return p.sums[r.callers()].room(part, cost, r.Spread) && p.sums[r.rank()].room(p.rankPart(r, part, cost), cost, r.Spread)
}

// rankPart returns the part of what it asks for that the rank of a request gets: what the more urgent ones leave.
func (p *parts) rankPart(r Request, part, cost float64) float64 {
	urgent, all := 0.0, cost
	for rank := range p.ranks[r.Key] {
		asked := p.sums[class{Key: r.Key, kind: ofRank, size: rank}].asked
		all += asked
		if rank < r.Rank {
			urgent += asked
		}
	}
	return max(0, min(1, (part*all-urgent)/(p.sums[r.rank()].asked+cost)))
}

// expire forgets the classes that no longer ask.
func (p *parts) expire(scale float64) {
	for c, s := range p.sums {
		if s.demand()/scale >= forgottenSum {
			continue
		}
		delete(p.sums, c)
		if c.kind == ofRank {
			if delete(p.ranks[c.Key], c.size); len(p.ranks[c.Key]) == 0 {
				delete(p.ranks, c.Key)
			}
		}
	}
}

// rescale multiplies all sums.
func (p *parts) rescale(factor float64) { rescale(p.sums, factor) }

// repeats recognises requests that come again after they ended without an answer: they count as asked once. Equal requests at
// the same time are different ones.
type repeats map[repeat]unanswered

type repeat struct {
	organisation contract.OrganisationName
	digest       uint64
}

// unanswered is how many equal requests ended without an answer and have not come again, and when the last of them was asked.
type unanswered struct {
	count int
	asked clock.Instant
}

// maxRepeats limits the requests that are recognised when they come again.
const maxRepeats = 4096

// asked returns which part of the cost of a request is new: the rest is still in the sums.
func (m repeats) asked(r Request, now clock.Instant) float64 {
	k := repeat{r.Organisation, r.Digest}
	u, again := m[k]
	if !again {
		return 1
	}
	if u.count--; u.count == 0 {
		delete(m, k)
	} else {
		m[k] = u
	}
	return 1 - decayed(now.Sub(u.asked))
}

// ended notes that a request which was asked at an instant has ended without an answer.
func (m repeats) ended(r Request, asked clock.Instant) {
	k := repeat{r.Organisation, r.Digest}
	u, known := m[k]
	if r.Digest != 0 && (known || len(m) < maxRepeats) {
		m[k] = unanswered{u.count + 1, max(u.asked, asked)}
	}
}

func (m repeats) expire(now clock.Instant) {
	for k, u := range m {
		if now.Sub(u.asked) > 4*halfLife {
			delete(m, k)
		}
	}
}
