// Package explain reads the logs of entry VMs and lists what happened to one request on all of them, with the cause of
// its outcome.
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

// maxLineBytes is the length of the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one log line of an entry VM. It has the fields of the messages on requests, orders and loads; those that its
// own message lacks are empty.
type Line struct {
	Time        time.Time `json:"time"`
	Message     string    `json:"msg"`
	Node        string    `json:"node"`
	Request     string    `json:"request,omitempty"`
	Route       string    `json:"route,omitempty"`
	Runner      string    `json:"runner,omitempty"`
	Version     string    `json:"version,omitempty"`
	Resumes     string    `json:"resumes,omitempty"`
	Source      string    `json:"source,omitempty"`
	GoesOn      bool      `json:"goes_on,omitempty"`
	Leaves      string    `json:"leaves,omitempty"`
	AboveShare  bool      `json:"above_share,omitempty"`
	Model       string    `json:"model,omitempty"`
	Adapter     string    `json:"adapter,omitempty"`
	Kind        string    `json:"kind,omitempty"`
	Outcome     string    `json:"outcome,omitempty"`
	Result      string    `json:"result,omitempty"`
	Code        string    `json:"code,omitempty"`
	Detail      string    `json:"detail,omitempty"`
	DecidedBy   string    `json:"decided_by,omitempty"`
	RetryMs     int64     `json:"retry_after_ms,omitempty"`
	Booked      bool      `json:"booked,omitempty"`
	Cause       string    `json:"cause,omitempty"`
	Planner     string    `json:"planner,omitempty"`
	Obstacle    string    `json:"obstacle,omitempty"`
	Gain        float64   `json:"gain,omitempty"`
	Lost        float64   `json:"lost,omitempty"`
	Needed      int       `json:"needed"`
	Replicas    int       `json:"replicas"`
	Attempt     int       `json:"attempt,omitempty"`
	WaitedMs    int64     `json:"waited_ms,omitempty"`
	PatienceMs  int64     `json:"patience_ms,omitempty"`
	Memory      bool      `json:"memory,omitempty"`
	ExpectedMs  int64     `json:"expected_ms,omitempty"`
	QueuedMs    int64     `json:"queued_ms,omitempty"`
	TookMs      int64     `json:"took_ms,omitempty"`
	Manifest    int64     `json:"manifest,omitempty"`
	AgeMs       int64     `json:"manifest_age_ms,omitempty"`
	PauseMs     int64     `json:"pause_ms,omitempty"`
	SilentMs    int64     `json:"silent_ms,omitempty"`
	GivenUp     bool      `json:"given_up,omitempty"`
	KeptBecause string    `json:"kept_because,omitempty"`
	MayHaveRun  bool      `json:"may_have_run,omitempty"`
	By          string    `json:"by,omitempty"`
	Events      int       `json:"events,omitempty"`
	InForceMs   int64     `json:"manifest_in_force_ms,omitempty"`
	Final       bool      `json:"final,omitempty"`
}

// Step is one decision about a request or one event that concerns it.
type Step struct {
	AfterMs int64  `json:"after_ms"` // since the first log line of the request
	Node    string `json:"node"`
	Text    string `json:"text"`
}

// Timeline lists what happened to one request.
type Timeline struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	Cause   string `json:"cause"`
}

// ErrNotFound is returned if no line names the request.
var ErrNotFound = errors.New("no log line names the request")

// Read parses the lines of a log. It ignores text before the JSON object of a line, and lines without a log message.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
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

// BuildTimeline returns the timeline of a request. It includes the orders for the request's model, the reasons why the
// model was not loaded, and what the runners that were tried said of themselves to the VM of the request, that were logged
// between the first and the last line of the request.
func BuildTimeline(lines []Line, request string) (Timeline, error) {
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return Timeline{}, errors.Wrapf(ErrNotFound, "request %s", request)
	}
	slices.SortStableFunc(requestLines, byTime)
	first, last := requestLines[0], requestLines[len(requestLines)-1]
	model := modelOf(requestLines)
	events := slices.Clone(requestLines)
	tried := make(map[string]bool)
	for _, l := range requestLines {
		tried[l.Node+" "+l.Runner] = l.Runner != ""
	}
	for _, l := range lines {
		stated := l.Message == "runner paused" || l.Message == "runner leaves"
		ofModel := (l.Message == "order" || l.Message == "load delayed") && model != "" && l.Model == model
		if (ofModel || stated && tried[l.Node+" "+l.Runner]) &&
			!l.Time.Before(first.Time) && !l.Time.After(last.Time) {
			events = append(events, l)
		}
	}
	slices.SortStableFunc(events, byTime)
	timeline := Timeline{Request: request, Cause: cause(requestLines) + lastObstacle(events)}
	for _, l := range events {
		timeline.Steps = append(timeline.Steps, Step{
			AfterMs: l.Time.Sub(first.Time).Milliseconds(), Node: l.Node, Text: describe(l),
		})
	}
	return timeline, nil
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
		text := fmt.Sprintf(
			"attempt %d sent to runner %s (%d ms of prefill queued there, %d ms after arrival, manifest %d)",
			l.Attempt, l.Runner, l.QueuedMs, l.WaitedMs, l.Manifest)
		if l.GoesOn {
			text += fmt.Sprintf("; the stream goes on at software version %s", l.Version)
		}
		if l.AboveShare {
			text += "; above its organisation's share of the saturated service, so that it comes after those that can be in time"
		}
		return text + leavesTexts[l.Leaves]
	case "waiting for slot":
		return fmt.Sprintf("above its organisation's share of the saturated service; waits up to %d ms for a free slot", l.PatienceMs)
	case "stream taken up":
		return fmt.Sprintf("takes up the stream of request %s, begun by software version %s (known from: %s)",
			l.Resumes, l.Version, l.Source)
	case "waiting":
		if l.Memory {
			return fmt.Sprintf("no runner has room in its memory for %s; waits up to %d ms", artifact(l), l.PatienceMs)
		}
		return fmt.Sprintf("no runner holds %s; waits up to %d ms for the planner %s",
			artifact(l), l.PatienceMs, l.Planner)
	case "waiting for quota":
		if l.PatienceMs == 0 {
			return fmt.Sprintf("waits for the quota of its organisation to go on with the stream; %d ms are expected", l.ExpectedMs)
		}
		text := fmt.Sprintf("waits up to %d ms for the quota of its organisation; %d ms are expected", l.PatienceMs, l.ExpectedMs)
		if l.Booked {
			text += "; the caller has come again at the time of its booking"
		}
		return text
	case "refused":
		text := fmt.Sprintf("refused with %s after %d ms: %s (manifest %d, %d ms old)",
			l.Code, l.WaitedMs, l.Detail, l.Manifest, l.AgeMs)
		if l.DecidedBy != "" {
			text += "; decided by " + l.DecidedBy + reasonText(l.DecidedBy)
		}
		if l.RetryMs > 0 {
			text += fmt.Sprintf("; the caller may come again after %d ms", l.RetryMs)
		}
		return text
	case "ended":
		text := fmt.Sprintf("attempt at runner %s ended after %d ms: %s", l.Runner, l.TookMs, l.Result)
		if l.Cause != "" {
			text += " (" + l.Cause + ")"
		}
		return text
	case "answer cut off":
		return fmt.Sprintf("the answer is cut off after %d events: %s (%s, by the %s; manifest %d in force for %d ms)",
			l.Events, cutText(l), l.Cause, l.By, l.Manifest, l.InForceMs)
	case "caller gone":
		return fmt.Sprintf("the caller aborted the request %d ms after arrival", l.WaitedMs)
	case "order":
		text := fmt.Sprintf("order to runner %s: %s %s: %s", l.Runner, l.Kind, artifact(l), l.Outcome)
		if l.Cause != "" {
			text += " (" + l.Cause + ")"
		}
		return text
	case "runner paused":
		return fmt.Sprintf("runner %s wants nothing from this VM for %d ms", l.Runner, l.PauseMs)
	case "runner silent":
		text := fmt.Sprintf("runner %s has sent nothing for %d ms; ", l.Runner, l.SilentMs)
		if l.GivenUp {
			return text + "another runner goes on"
		}
		return text + l.KeptBecause + ", so the attempt is kept"
	case "runner leaves":
		return fmt.Sprintf("runner %s has said that it leaves", l.Runner)
	case "load delayed":
		state := "is not loaded"
		if l.Replicas > 0 {
			state = fmt.Sprintf("has %d of %d needed replicas", l.Replicas, l.Needed)
		}
		text := fmt.Sprintf("%s %s: %s (gain %.1f, lost %.1f)", artifact(l), state, obstacleTexts[l.Obstacle], l.Gain, l.Lost)
		if l.Runner != "" {
			text += "; it waits for runner " + l.Runner
		}
		return text
	}
	return l.Message
}

// obstacleTexts explains the obstacle of a "load delayed" line.
var obstacleTexts = map[string]string{
	"no_runner":         "no runner is set up for the model, or each is draining or leaving, has an unknown state or already has it",
	"weight_store_busy": "no runner has a copy, and the weight store is at its limit",
	"no_room":           "requests wait for all models that would have to be unloaded",
	"too_costly":        "the models that would have to be unloaded are worth more",
	"runner_busy":       "the best runner is busy with another model",
}

// lastObstacle returns the last logged reason why the model was not loaded, as a sentence. It is empty unless the
// request was refused for lack of a replica.
func lastObstacle(events []Line) string {
	reason := ""
	for _, l := range events {
		if l.Message == "load delayed" {
			reason = obstacleTexts[l.Obstacle]
		}
	}
	if last := events[len(events)-1]; reason == "" || last.Message != "refused" || last.Code != "no_replica" {
		return ""
	}
	return " Last reason that the planner logged: " + reason + "."
}

func artifact(l Line) string {
	if l.Adapter != "" {
		return l.Model + "/" + l.Adapter
	}
	return l.Model
}

// leavesTexts tells why an attempt was sent to another zone.
var leavesTexts = map[string]string{
	"no_target": "; in another zone, since none in its own could take it",
	"wait":      "; in another zone, since the wait that this saves is worth the price",
	"share":     "; in another zone, as part of the share that leaves a busy one",
}

// refusalTexts explains each code of a refusal and, where that helps, names what to check next.
var refusalTexts = map[string]string{
	"manifest_missing":  "the VM had just started or never reached the store; look for 'store available' on its node",
	"manifest_stale":    "the VM could not confirm that its manifest was the latest; look for 'store unavailable' on its node",
	"invalid_key":       "the manifest in force does not hold the key; compare its version with the operators' last change",
	"route_not_found":   "the manifest in force has no route for host and path; compare its version with the operators' last change",
	"rate_limited":      "the organisation was over its limit, counted over all VMs",
	"no_replica":        "no runner had the model in time; the orders above, or their absence, show why",
	"no_runner":         "no runner of the service was usable; look for 'runner changed' and 'runner gone'",
	"overloaded":        "the VM or all runners that were tried were full, at their rate limits or had asked for a pause, or the deadline had passed before the request was sent",
	"crash_suspect":     "earlier runs of the request, or of requests with the same prompt part, had crashed several runners",
	"deadline_exceeded": "the runner did not answer within the deadline",
	"stopping":          "the VM was being stopped; another one takes the request",
	"stream_lost":       "no runner has the software version that began the stream; look for 'software versions' and 'runner changed'",
	"origin_unknown":    "what began the stream could not be found out; look for 'origin not found' and 'store unavailable' on its node",
	"stream_unrecorded": "the store did not take the record of the stream in time; look for 'streams not recorded' on its node",
	"runner_failed":     "the runner gave no complete answer and the request must not be repeated",
}

// cutTexts explains each cause of an "answer cut off" line.
var cutTexts = map[string]string{
	"runner_broke_off":        "the runner broke off, and the route allows no further attempt",
	"deadline":                "the caller's deadline or the route's timeout was reached",
	"caller_gone":             "the caller disconnected or did not read",
	"given_up_for_silence":    "a silent runner was given up, and the attempt after that broke off too",
	"retry_budget_spent":      "the runner broke off, and the retry budget was spent",
	"sends_spent":             "the request had been sent too often",
	"no_runner":               "no runner of the service was usable to go on",
	"no_replica":              "no runner with the model could go on in time",
	"queue_too_long":          "the queues of all runners that could go on were longer than the time left",
	"runners_at_limits":       "all runners that could go on were at their rate limits or had asked for a pause",
	"version_gone":            "no usable runner has the software version that began the stream",
	"not_recorded":            "what began the stream could not be recorded",
	"prompt_part_blocked":     "a part of the prompt was blocked because it crashes runners",
	"request_crashes_runners": "the request broke off at several runners",
	"planned_stop":            "a planned stop waited no longer",
	"process_ending":          "the process was ending",
	"panic":                   "the handler of the request panicked, which is a fault of mangopass",
}

// cutText returns the cause of an "answer cut off" line as a phrase.
func cutText(l Line) string {
	if text := cutTexts[l.Cause]; text != "" {
		return text
	}
	return l.Cause
}

// cause summarises the outcome of a request in one sentence.
func cause(requestLines []Line) string {
	last := requestLines[len(requestLines)-1]
	attempts := 0
	failure := ""
	var cut *Line
	for i, l := range requestLines {
		if l.Message == "answer cut off" {
			cut = &requestLines[i]
		}
		if l.Message == "sent" {
			attempts++
		}
		if l.Message == "ended" && l.Result != "served" {
			failure = fmt.Sprintf("; the last failed attempt was at runner %s: %s", l.Runner, l.Result)
		}
	}
	switch {
	case cut != nil && cut.By == "caller":
		return fmt.Sprintf("The caller aborted the request before the answer was complete, after %d events%s.", cut.Events, failure)
	case cut != nil:
		return fmt.Sprintf("The answer was cut off after %d events, %d ms after arrival: %s (%s)%s. Manifest %d had been in force "+
			"for %d ms.", cut.Events, cut.WaitedMs, cutText(*cut), cut.Cause, failure, cut.Manifest, cut.InForceMs)
	case last.Message == "refused":
		return fmt.Sprintf("Refused with %s: %s%s.", last.Code, refusalTexts[last.Code], failure)
	case last.Message == "ended" && last.Result == "served":
		return fmt.Sprintf("Served by runner %s in attempt %d%s.", last.Runner, attempts, failure)
	case last.Message == "ended" && last.Result == "gone", last.Message == "caller gone":
		return "The caller aborted the request before the answer was complete" + failure + "."
	case last.Message == "ended":
		return fmt.Sprintf("The answer was cut off after its headers: the attempt at runner %s ended with %s.",
			last.Runner, last.Result)
	case last.Message == "waiting":
		return "The log ends while the request waits for a replica; the VM stopped or lines were dropped."
	}
	return "The log ends while the request is at a runner; the VM stopped or lines were dropped."
}

// Write prints the timeline as text.
func (t Timeline) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s\n", t.Request); err != nil {
		return errors.Wrap(err, "write")
	}
	for _, step := range t.Steps {
		if _, err := fmt.Fprintf(w, "%8d ms  %-16s %s\n", step.AfterMs, step.Node, step.Text); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", t.Cause)
	return errors.Wrap(err, "write")
}
