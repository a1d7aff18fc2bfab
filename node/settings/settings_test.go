package settings

import (
	"os"
	"strings"
	"testing"
)

// TestTableIsOnThePage guards the operators' page against settings that it does not name, or names wrongly. The table is
// printed by mangopassd settings.
func TestTableIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Table()) {
		t.Errorf("the page lacks the table of settings as it is now:\n%s", Table())
	}
	for _, f := range Fields() {
		if f.Meaning == "" {
			t.Errorf("%s has no meaning", f.Name)
		}
	}
}
