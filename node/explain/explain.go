// Package explain reads the log lines of entry VMs and tells the life of one request across them, with its cause.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Line is one log line of an entry VM. Fields that a message does not have are empty.
type Line struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	Node       string    `json:"node"`
	Request    string    `json:"request,omitempty"`
	Route      string    `json:"route,omitempty"`
	Runner     string    `json:"runner,omitempty"`
	Model      string    `json:"model,omitempty"`
	Adapter    string    `json:"adapter,omitempty"`
	Kind       string    `json:"kind,omitempty"`
	Outcome    string    `json:"outcome,omitempty"`
	Result     string    `json:"result,omitempty"`
	Code       string    `json:"code,omitempty"`
	Detail     string    `json:"detail,omitempty"`
	Cause      string    `json:"cause,omitempty"`
	Planner    string    `json:"planner,omitempty"`
	Obstacle   string    `json:"obstacle,omitempty"`
	Gain       float64   `json:"gain,omitempty"`
	Lost       float64   `json:"lost,omitempty"`
	Attempt    int       `json:"attempt,omitempty"`
	WaitedMs   int64     `json:"waited_ms,omitempty"`
	PatienceMs int64     `json:"patience_ms,omitempty"`
	QueuedMs   int64     `json:"queued_ms,omitempty"`
	TookMs     int64     `json:"took_ms,omitempty"`
	Manifest   int64     `json:"manifest,omitempty"`
	AgeMs      int64     `json:"manifest_age_ms,omitempty"`
	MayHaveRun bool      `json:"may_have_run,omitempty"`
	Final      bool      `json:"final,omitempty"`
}

// Step is one decision or event in the life of a request.
type Step struct {
	AfterMs int64  `json:"after_ms"` // since the first step
	Node    string `json:"node"`
	Text    string `json:"text"`
}

// Explanation is the life of one request.
type Explanation struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	Cause   string `json:"cause"`
}

// ErrNotFound says that no line names the request.
var ErrNotFound = errors.New("no log line names the request")

// Read collects the lines of a log; text around the JSON of a line is ignored, as is what is no log line.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal([]byte(text[start:]), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// Explain returns the explanation of a request. Orders for its model and delays of its load while it waited are part of it.
func Explain(lines []Line, request string) (Explanation, error) {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Explanation{}, errors.Wrapf(ErrNotFound, "request %s", request)
	}
	slices.SortStableFunc(own, byTime)
	first, last := own[0], own[len(own)-1]
	model := modelOf(own)
	told := slices.Clone(own)
	for _, l := range lines {
		if (l.Message == "order" || l.Message == "load delayed") && model != "" && l.Model == model && !l.Time.Before(first.Time) && !l.Time.After(last.Time) {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, byTime)
	explanation := Explanation{Request: request, Cause: cause(own) + obstacle(told)}
	for _, l := range told {
		explanation.Steps = append(explanation.Steps, Step{AfterMs: l.Time.Sub(first.Time).Milliseconds(), Node: l.Node, Text: describe(l)})
	}
	return explanation, nil
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

func modelOf(lines []Line) string {
	for _, l := range lines {
		if l.Model != "" {
			return l.Model
		}
	}
	return ""
}

// describe returns one line as a sentence.
func describe(l Line) string {
	switch l.Message {
	case "sent":
		return fmt.Sprintf("attempt %d sent to runner %s (%d ms of prefill queued there, %d ms after arrival, manifest %d)",
			l.Attempt, l.Runner, l.QueuedMs, l.WaitedMs, l.Manifest)
	case "waiting":
		return fmt.Sprintf("no runner holds %s; waits up to %d ms for the planner %s", artifact(l), l.PatienceMs, l.Planner)
	case "refused":
		return fmt.Sprintf("refused with %s after %d ms: %s (manifest %d, %d ms old)", l.Code, l.WaitedMs, l.Detail, l.Manifest, l.AgeMs)
	case "ended":
		text := fmt.Sprintf("attempt at runner %s ended after %d ms: %s", l.Runner, l.TookMs, l.Result)
		if l.Cause != "" {
			text += " (" + l.Cause + ")"
		}
		return text
	case "caller gone":
		return fmt.Sprintf("the caller left %d ms after arrival", l.WaitedMs)
	case "order":
		text := fmt.Sprintf("order to runner %s: %s %s: %s", l.Runner, l.Kind, artifact(l), l.Outcome)
		if l.Cause != "" {
			text += " (" + l.Cause + ")"
		}
		return text
	case "load delayed":
		text := fmt.Sprintf("%s is not loaded: %s (gain %.1f, lost %.1f)", artifact(l), obstacles[l.Obstacle], l.Gain, l.Lost)
		if l.Runner != "" {
			text += "; its turn is at runner " + l.Runner
		}
		return text
	}
	return l.Message
}

// obstacles tells what each obstacle to a load means.
var obstacles = map[string]string{
	"no_runner":         "no runner that stays and whose account is known could take it",
	"weight_store_busy": "no runner has a copy, and the weight store is at its limit",
	"no_room":           "requests wait for all models that would have to go",
	"too_costly":        "the models that would have to go are worth more",
	"runner_busy":       "the best runner is busy with another model",
}

// obstacle returns the last reason for which the model of a refused request was not loaded, as a sentence.
func obstacle(told []Line) string {
	reason := ""
	for _, l := range told {
		if l.Message == "load delayed" {
			reason = obstacles[l.Obstacle]
		}
	}
	if last := told[len(told)-1]; reason == "" || last.Message != "refused" || last.Code != "no_replica" {
		return ""
	}
	return " Last word of the planner: " + reason + "."
}

func artifact(l Line) string {
	if l.Adapter != "" {
		return l.Model + "/" + l.Adapter
	}
	return l.Model
}

// advice names, for each reason of a refusal, where an engineer looks next.
var advice = map[string]string{
	"manifest_missing":  "the VM had just started or never reached the store; look for 'store available' on its node",
	"manifest_stale":    "the VM could not prove that its manifest was the newest; look for 'store unavailable' on its node",
	"invalid_key":       "the manifest in force does not hold the key; compare its version with the operators' last change",
	"route_not_found":   "the manifest in force has no route for host and path; compare its version with the operators' last change",
	"rate_limited":      "the organisation was over its limit over all VMs",
	"no_replica":        "no runner had the model in time; the orders above, or their absence, tell why",
	"no_runner":         "no runner of the service was usable; look for 'runner changed' and 'runner gone'",
	"overloaded":        "the VM or all tried runners had no room, or the deadline had passed before the request was sent",
	"crash_suspect":     "the same request had broken off at several runners before",
	"deadline_exceeded": "the runner did not answer within the deadline",
	"runner_failed":     "the runner gave no whole answer and the request may not run again",
}

// cause sums a request's life up in one sentence.
func cause(own []Line) string {
	last := own[len(own)-1]
	attempts := 0
	failure := ""
	for _, l := range own {
		if l.Message == "sent" {
			attempts++
		}
		if l.Message == "ended" && l.Result != "served" {
			failure = fmt.Sprintf("; the last failed attempt was at runner %s: %s", l.Runner, l.Result)
		}
	}
	switch {
	case last.Message == "refused":
		return fmt.Sprintf("Refused with %s: %s%s.", last.Code, advice[last.Code], failure)
	case last.Message == "ended" && last.Result == "served":
		return fmt.Sprintf("Served by runner %s in attempt %d%s.", last.Runner, attempts, failure)
	case last.Message == "ended" && last.Result == "gone", last.Message == "caller gone":
		return "The caller left before the answer was complete" + failure + "."
	case last.Message == "ended":
		return fmt.Sprintf("The answer broke off after its head: attempt at runner %s ended with %s.", last.Runner, last.Result)
	case last.Message == "waiting":
		return "The log ends while the request waits for a replica; the VM stopped or lines were dropped."
	}
	return "The log ends while the request is at a runner; the VM stopped or lines were dropped."
}

// Write prints a story as text.
func (s Explanation) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s\n", s.Request); err != nil {
		return errors.Wrap(err, "write")
	}
	for _, step := range s.Steps {
		if _, err := fmt.Fprintf(w, "%8d ms  %-16s %s\n", step.AfterMs, step.Node, step.Text); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", s.Cause)
	return errors.Wrap(err, "write")
}
