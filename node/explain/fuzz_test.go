package explain

import (
	"io"
	"strings"
	"testing"
)

// FuzzExplain guards against a log file, cut off or damaged, that stops mangopass explain.
func FuzzExplain(f *testing.F) {
	f.Add(logText)
	f.Add(`{"time":"x","msg":7,"request":"q"}` + "\n" + `{"msg":"refused","request":"q"`)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		if timeline, err := BuildTimeline(lines, "q"); err == nil {
			_ = timeline.Write(io.Discard)
		}
	})
}
