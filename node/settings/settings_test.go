package settings

import (
	"os"
	"strings"
	"testing"
)

// TestTableIsOnThePage guards against an operators' page that lacks a setting or describes it differently, because a
// field changed and the page did not. Replace the table on the page by the output of mangopassd settings.
func TestTableIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Table()) {
		t.Errorf("the page does not contain the current table of settings:\n%s", Table())
	}
	for _, f := range Fields() {
		if f.Meaning == "" {
			t.Errorf("%s has no doc tag", f.Name)
		}
	}
}
