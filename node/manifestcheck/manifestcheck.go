// Package manifestcheck checks a manifest file and compares it with the one in force, for operators.
package manifestcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/contract/review"
	"github.com/mangopass/mangopass/platform"
)

// Finding is something that is wrong with a manifest.
type Finding struct {
	Severity string `json:"severity"` // error or warning
	Path     string `json:"path"`     // of the field
	Text     string `json:"text"`
}

// Change is a difference from the manifest in force.
type Change struct {
	Object string `json:"object"`
	Name   string `json:"name"`
	Action string `json:"action"` // added, removed or changed
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	words  string
}

// Report is the result of a check.
type Report struct {
	Errors   int       `json:"errors"`
	Warnings int       `json:"warnings"`
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// Check reviews a manifest file, and compares it with the manifest in force unless inForce is empty: a file, or the address of the status
// listener of a VM.
func Check(path, inForce string) (Report, error) {
	r := Report{Findings: []Finding{}, Changes: []Change{}}
	next, err := read(path)
	if err != nil {
		return r, err
	}
	for _, invalid := range next.Invalid {
		r.add(review.Error, "", invalid.Error())
	}
	found := review.Review(&next.Draft)
	if inForce != "" {
		before, err := readInForce(inForce)
		if err != nil {
			return r, err
		}
		found = append(review.Versions(&before.Draft, &next.Draft), found...)
		for _, c := range review.Compare(&before.Draft, &next.Draft) {
			r.Changes = append(r.Changes, Change{
				Object: string(c.Object), Name: c.Name, Action: string(c.Action), Field: string(c.Field), Before: c.Before,
				After: c.After, words: c.String(),
			})
		}
	}
	for _, f := range found {
		r.add(f.Severity, next.Path(f.Place), f.Text)
	}
	unknown, err := next.Unknown()
	for _, path := range unknown {
		r.add(review.Warning, path, "is unknown and has no effect")
	}
	return r, err
}

func read(path string) (*platform.ManifestFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "manifest")
	}
	f, err := platform.ReadManifest(text)
	return f, errors.Wrap(err, path)
}

func (r *Report) add(s review.Severity, path, text string) {
	r.Findings = append(r.Findings, Finding{Severity: s.String(), Path: path, Text: text})
	if s == review.Error {
		r.Errors++
	} else {
		r.Warnings++
	}
}

// Write prints the report as text.
func (r Report) Write(w io.Writer) error {
	var err error
	print := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	for _, f := range r.Findings {
		if f.Path == "" {
			print("%s: %s\n", f.Severity, f.Text)
		} else {
			print("%s: %s: %s\n", f.Severity, f.Path, f.Text)
		}
	}
	for _, c := range r.Changes {
		print("change: %s\n", c.words)
	}
	print("errors %d, warnings %d, changes %d\n", r.Errors, r.Warnings, len(r.Changes))
	return errors.Wrap(err, "write")
}

// WriteJSON prints the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return errors.Wrap(out.Encode(r), "write")
}
