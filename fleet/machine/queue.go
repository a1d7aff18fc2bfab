package machine

import (
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
)

// Waiting is one request in a target's queue.
type Waiting struct {
	ID           string
	Organisation contract.OrganisationID
	Class        contract.Class
	Artifact     contract.Artifact
	Tokens       float64
	Deadline     time.Time
}

// Queue holds the requests that wait at a target. Requests leave it by Next or Expire, never silently.
type Queue struct {
	waiting []Waiting
}

// Add appends a request.
func (q *Queue) Add(w Waiting) { q.waiting = append(q.waiting, w) }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Next removes and returns the first request whose artifact is ready.
func (q *Queue) Next(ready func(contract.Artifact) bool) (Waiting, bool) {
	for i, w := range q.waiting {
		if ready(w.Artifact) {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return w, true
		}
	}
	return Waiting{}, false
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Waiting {
	var late, rest []Waiting
	for _, w := range q.waiting {
		if now.Before(w.Deadline) {
			rest = append(rest, w)
		} else {
			late = append(late, w)
		}
	}
	q.waiting = rest
	return late
}

// Wanted returns the artifacts that requests wait for, most urgent first.
func (q *Queue) Wanted() []contract.Artifact {
	var list []contract.Artifact
	seen := make(map[contract.Artifact]bool)
	for _, w := range q.waiting {
		if !seen[w.Artifact] {
			seen[w.Artifact] = true
			list = append(list, w.Artifact)
		}
	}
	return list
}

// NextDeadline returns the earliest deadline of a waiting request, and false if none waits.
func (q *Queue) NextDeadline() (time.Time, bool) {
	var first time.Time
	for i, w := range q.waiting {
		if i == 0 || w.Deadline.Before(first) {
			first = w.Deadline
		}
	}
	return first, len(q.waiting) > 0
}
