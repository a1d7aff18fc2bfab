package explain

import "strings"

// reasonText explains the part and the reasons that decided on a refusal.
func reasonText(decidedBy string) string {
	part, reasons, _ := strings.Cut(decidedBy, ": ")
	var texts []string
	for _, reason := range strings.Split(reasons, ", ") {
		if text := reasonTexts[part+": "+reason]; text != "" {
			texts = append(texts, text)
		}
	}
	if len(texts) == 0 {
		return ""
	}
	return " (" + strings.Join(texts, "; ") + ")"
}

var reasonTexts = map[string]string{
	"quota: booked":          "the quota is booked for the caller's return",
	"quota: early":           "the caller has come before the time of its booking, which is kept",
	"quota: too_late":        "the quota has room only after the caller comes again",
	"quota: not_kept":        "the caller has come at the time of its booking, and the quota had no room",
	"quota: too_large":       "the request is larger than the burst",
	"quota: still_empty":     "the request has waited as long as it could be in time, and nothing could be booked",
	"queue: too_long":        "by the measured pace, the queues of all runners that could take the request last longer than its deadline",
	"limits: cold":           "runners that are cold take no more requests now",
	"limits: paused":         "runners have asked for a pause",
	"limits: stated":         "runners are at the rate limits that they state",
	"share: above":           "the request is above its organisation's share of the saturated service, and comes after all that can be in time",
	"share: no_free_slot":    "the request is above its organisation's share of the saturated service, and no runner had a free slot in time",
	"replica: load_too_late": "no load of the model can end before the deadline",
	"replica: load_overdue":  "the load under way has not ended when it was expected",
	"replica: not_loaded":    "no load of the model has begun in time",
	"memory: full":           "no runner of the model had room in its memory for as long as the answer could be in time",
	"memory: too_large":      "the request needs more memory than any runner of the model has",
}
