package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimitMB is what a front machine of the sheet has for a process. The platform kills a process that exceeds it.
const memoryLimitMB = 284

// largeBodies sends requests whose bodies are as long as the manifest allows, at the usual rate of a front machine and then, with
// trouble, at that of a burst. In the platform's place, it kills an entry VM whose resident memory exceeds the limit, and starts
// it again. It exits with 1 if that happens three times on each of two VMs.
func largeBodies(args []string) int {
	f := flag.NewFlagSet("large-bodies", flag.ExitOnError)
	record := f.String("record", "record.txt", "file for the record")
	usual := f.Float64("usual", 12, "requests a second to each VM")
	burst := f.Float64("burst", 2.4, "times of that in the burst")
	bytes := f.Int("bytes", 4194304, "length of a body")
	length := f.Duration("length", 30*time.Second, "of the burst")
	_ = f.Parse(args)
	g, err := newRig()
	if err != nil {
		return fail("rig", err)
	}
	defer g.stop()
	if code := g.startForCrashes(true, 0, 1); code != 0 {
		return code
	}
	time.Sleep(2 * time.Second)
	rate := *usual
	if g.trouble {
		rate *= *burst
	}
	body := strings.Repeat("lot 7, grade A. ", *bytes/16)
	end := time.Now().Add(*length)
	kills := make([]int, len(g.entries))
	peak := make([]float64, len(g.entries))
	var watch, wait sync.WaitGroup
	var sent, served, lost, dropped, open atomic.Int64
	for i, e := range g.entries {
		watch.Add(1)
		go func() {
			defer watch.Done()
			for time.Now().Before(end) {
				time.Sleep(20 * time.Millisecond)
				mb := residentMB(e.cmd.Process.Pid)
				peak[i] = max(peak[i], mb)
				if mb <= memoryLimitMB {
					continue
				}
				kills[i]++
				g.note("%s has %.0f MB resident, more than its %d MB: the platform kills it", e.name, mb, memoryLimitMB)
				g.signal(e, syscall.SIGKILL)
				_ = e.cmd.Wait()
				time.Sleep(time.Second)
				if err := g.boot(e); err != nil {
					g.note("%s not started: %v", e.name, err)
					return
				}
			}
		}()
		go func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(float64(time.Second) / rate))
				wait.Add(1)
				go func() {
					defer wait.Done()
					if open.Add(1); open.Load() > 400 {
						open.Add(-1)
						dropped.Add(1)
						return
					}
					defer open.Add(-1)
					a := g.send(e, "POST", "/chat/x", fmt.Sprintf("%s-%04d", e.name, n), map[string]string{
						"X-Mangopass-Model": "tulip", "X-Mangopass-Token-Count": "650,40",
						"X-Mangopass-Prompt-Prefix": fmt.Sprintf("77aa0001:155,%x:495", 0x10000+n),
					}, body, 10*time.Second)
					sent.Add(1)
					if a.status == 200 && a.err == nil {
						served.Add(1)
						return
					}
					lost.Add(1)
					g.note("%s, sent at %.3f, is not served: status %d, error %v", a.id, a.sent.Sub(g.begun).Seconds(), a.status, a.err)
				}()
			}
		}()
	}
	watch.Wait()
	wait.Wait()
	broken := 0
	for i, e := range g.entries {
		g.note("%s: peak %.0f MB, killed %d times", e.name, peak[i], kills[i])
		if kills[i] >= 3 {
			broken++
		}
	}
	verdict, code := "held", 0
	if broken >= 2 {
		verdict, code = "broken", 1
	}
	g.note("%.1f requests a second to each VM; %d sent, %d served, %d not; Fault %s", rate, sent.Load(), served.Load(), lost.Load(), verdict)
	if err := g.writeRecord(*record); err != nil {
		return fail("record", err)
	}
	fmt.Printf("Fault %s: peaks %.0f MB, kills %v, sent %d, served %d, not served %d\n", verdict, peak, kills, sent.Load(), served.Load(), lost.Load())
	return code
}

// residentMB returns the resident memory of a process; zero if there is none.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "status"))
	if err != nil {
		return 0
	}
	_, line, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0.0
	_, _ = fmt.Sscan(line, &kb)
	return kb / 1024
}
