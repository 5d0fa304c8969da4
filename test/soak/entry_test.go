package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/platform/platformtest"
)

const (
	// stopGrace is the settings' time from SIGTERM to SIGKILL.
	stopGrace = 8 * time.Second
	// maxMemoryKB and maxDescriptors are the limits of the platform's smallest machines.
	maxMemoryKB    = 284 << 10
	maxDescriptors = 4100
)

// entry is an instance of acacia-entry, which is started again after each end.
type entry struct {
	index    int
	record   *record
	dir      string
	settings testkit.EntrySettings
	// link stands between callers and the instance, store between the instance and the platform's store.
	link, store *link

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// stopping tells that the end of the process was asked for.
	stopping bool
	ended    chan struct{}
}

func entrySubject(index int) string { return fmt.Sprintf("entry-%d", index) }

// plannedSubject is disturbed while an instance stops by plan.
func plannedSubject(index int) string { return fmt.Sprintf("planned-%d", index) }

func (e *entry) incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

func (e *entry) path(name string) string { return filepath.Join(e.dir, name) }

// prepare makes the directory of the instance and writes its settings.
func (e *entry) prepare() error {
	if err := os.MkdirAll(e.dir, 0o700); err != nil {
		return err
	}
	return e.settings.Write(e.path("entry.yaml"))
}

// start starts the process and notes when it ends by itself.
func (e *entry) start() error {
	log, err := os.OpenFile(e.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd = exec.Command(filepath.Join(binaries, "acacia-entry"), "--settings", e.path("entry.yaml"))
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.starts++
	e.stopping = false
	e.ended = make(chan struct{})
	go e.wait(e.cmd, e.ended)
	return nil
}

func (e *entry) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	e.mu.Lock()
	stopping := e.stopping
	e.mu.Unlock()
	if !stopping {
		e.record.fault(fmt.Sprintf("FAULT: %s ended by itself: %v", entrySubject(e.index), err))
	}
	close(ended)
}

// signal sends a signal to the running process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// stop ends the process by a signal, by SIGKILL after the grace, and returns when it is gone.
func (e *entry) stop(s syscall.Signal) {
	e.mu.Lock()
	e.stopping = true
	process, ended := e.cmd.Process, e.ended
	e.mu.Unlock()
	_ = process.Signal(s)
	if s == syscall.SIGKILL {
		// A stopped process ends by SIGKILL too.
		<-ended
		return
	}
	select {
	case <-ended:
	case <-time.After(stopGrace):
		_ = process.Kill()
		<-ended
	}
}

func (e *entry) isReady() bool { return platformtest.IsReady(e.settings.Readiness) }

// checkResources notes memory or descriptors above the limits.
func (e *entry) checkResources() {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(peak)
	if len(fields) > 0 {
		if kilobytes, err := strconv.Atoi(fields[0]); err == nil && kilobytes > maxMemoryKB {
			e.record.fault(fmt.Sprintf("FAULT: %s used %d kB", entrySubject(e.index), kilobytes))
		}
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(files) > maxDescriptors {
		e.record.fault(fmt.Sprintf("FAULT: %s has %d descriptors", entrySubject(e.index), len(files)))
	}
}
