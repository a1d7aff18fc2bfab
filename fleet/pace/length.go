package pace

import (
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// lengthWeight is the weight of a new answer in the moving averages of lengths, from 0 to 1.
const lengthWeight = 0.05

// Parameters of the number of events for each hinted token.
const (
	// maxEventsByHint bounds what one answer says of it: a caller may hint at 1 token and get hundreds.
	maxEventsByHint = 4
	// hintPriorCount is the number of answers that the ratio of all services counts for beside those of a service, and the ratio
	// of 1 beside those of all.
	hintPriorCount = 4
)

// Lengths holds how many events the whole answers of models had, and how many came for each token of the callers' hints.
type Lengths struct {
	models   map[Model]float64                  // moving average of the number of events
	byHint   map[contract.ServiceName]hintRatio // of the events for each hinted token
	allHints hintRatio                          // the same over all services
}

// hintRatio is a moving average of the number of events for each hinted token.
type hintRatio struct{ ratio, answers float64 }

func (h hintRatio) add(ratio float64) hintRatio {
	weight := max(lengthWeight, 1/(h.answers+hintPriorCount+1))
	return hintRatio{h.ratio + weight*(ratio-h.ratio), h.answers + 1}
}

// NewLengths returns lengths without answers.
func NewLengths() *Lengths {
	return &Lengths{
		models: make(map[Model]float64), byHint: make(map[contract.ServiceName]hintRatio), allHints: hintRatio{ratio: 1},
	}
}

// Ended counts a whole answer. hint is the number of output tokens that its caller expected; zero: not stated.
func (l *Lengths) Ended(a machine.Artifact, hint, events int) {
	if events <= 0 {
		return
	}
	m, average := modelOf(a), float64(events)
	if before, known := l.models[m]; known {
		average = before + lengthWeight*(average-before)
	}
	l.models[m] = average
	if hint <= 0 {
		return
	}
	ratio := min(maxEventsByHint, float64(events)/float64(hint))
	service, known := l.byHint[a.Service]
	if !known {
		service.ratio = l.allHints.ratio
	}
	l.byHint[a.Service], l.allHints = service.add(ratio), l.allHints.add(ratio)
}

// Usual returns the average number of events of a model's answers, and zero if none is known.
func (l *Lengths) Usual(a machine.Artifact) float64 { return l.models[modelOf(a)] }

// Events returns the expected number of events of an answer: by its hint, else the model's average, and zero if nothing is
// known. An answer has at most one event for each token allowed.
func (l *Lengths) Events(a machine.Artifact, hint, maxTokens int) float64 {
	events := l.models[modelOf(a)]
	if perToken, known := l.byHint[a.Service]; hint > 0 && known {
		events = perToken.ratio * float64(hint)
	}
	if maxTokens > 0 {
		events = min(events, float64(maxTokens))
	}
	return events
}
