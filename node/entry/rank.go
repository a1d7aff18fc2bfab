package entry

// priority returns the rank that a call's attempt has at a runner, 0 being the first. An organisation's priority goes
// before that of the route. Calls that are late in any case come after all others, unless they go on with a stream.
func (c *call) priority(timely bool) int {
	rank := c.rank()
	switch {
	case c.pinned:
		return 0
	case timely:
		return min(firstTimelyRank+max(0, rank), lastTimelyRank)
	}
	return min(lastTimelyRank+1+max(0, rank), lastRank)
}

// rank returns the priority that the manifest states for a call, 0 being the first.
func (c *call) rank() int {
	if o := c.admitted.Organisation; o != nil && o.Priority != nil {
		return *o.Priority
	}
	return c.admitted.Route.Priority
}

// Runners know ten ranks. The first one is for calls that go on with a stream: their callers have its first part, wait no longer
// than for a pause, and get the rest nowhere else. Then come those that can be in time.
const (
	firstTimelyRank = 1
	lastTimelyRank  = 4
	lastRank        = 9
)
