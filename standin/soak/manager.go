package soak

import (
	"sync"
	"syscall"

	"github.com/mangopass/mangopass/standin/deploy"
)

// manager does for an entry VM what the service manager of a machine does: it starts the process again, once, after it has
// ended. Signals may come at any time, also while the process stops.
type manager struct {
	deployment *deploy.Deployment

	mu       sync.Mutex
	entry    *deploy.Entry
	awaiting bool // the process has been told to end and has not been started again
}

// signal sends a signal to the process that runs now.
func (m *manager) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry.Signal(s)
}

// end ends the process by a signal and starts it again after down returns, unless an earlier call is about to. A process
// that does not end in stopTimeout is left alone.
func (m *manager) end(s syscall.Signal, down func()) {
	m.mu.Lock()
	m.entry.Signal(s)
	first := !m.awaiting
	m.awaiting = true
	process := m.entry.Process
	m.mu.Unlock()
	if !first {
		return
	}
	_, err := process.Wait(stopTimeout)
	down()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaiting = false
	if err == nil {
		_ = m.deployment.Restart(m.entry) // a process that does not start is missing at the end
	}
}
