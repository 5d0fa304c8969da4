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
	// shutdownLimit is the time from SIGTERM to SIGKILL, as in the settings.
	shutdownLimit = 8 * time.Second
	// maxMemoryKB and maxDescriptors are the limits of the platform's smallest machines.
	maxMemoryKB    = 284 << 10
	maxDescriptors = 4100
)

// entry is an instance of acacia-entry whose process may be restarted.
type entry struct {
	index    int
	record   *record
	dir      string
	settings testkit.EntrySettings
	// callerLink is between callers and the instance, storeLink between the instance and the platform's store.
	callerLink, storeLink *link

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// stopping is true after stop has been called.
	stopping bool
	exited   chan struct{}
}

func entryName(index int) string { return fmt.Sprintf("entry-%d", index) }

// shutdownSubject is marked as disturbed during a graceful shutdown and the restart of an instance.
func shutdownSubject(index int) string { return fmt.Sprintf("planned-%d", index) }

func (e *entry) incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

func (e *entry) path(name string) string { return filepath.Join(e.dir, name) }

// writeSettings creates the directory of the instance and writes its settings.
func (e *entry) writeSettings() error {
	if err := os.MkdirAll(e.dir, 0o700); err != nil {
		return err
	}
	return e.settings.Write(e.path("entry.yaml"))
}

// start starts the process. If the process exits before stop is called, a failure is recorded.
func (e *entry) start() error {
	log, err := os.OpenFile(e.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd = testkit.Command(filepath.Join(binaryDir, "acacia-entry"), "--settings", e.path("entry.yaml"))
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.starts++
	e.stopping = false
	e.exited = make(chan struct{})
	go e.wait(e.cmd, e.exited)
	return nil
}

func (e *entry) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	e.mu.Lock()
	stopping := e.stopping
	e.mu.Unlock()
	if !stopping {
		e.record.addFailure(fmt.Sprintf("FAULT: %s exited unexpectedly: %v", entryName(e.index), err))
	}
	close(exited)
}

// signal sends a signal to the running process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// stop sends a signal, and SIGKILL if the process still runs after shutdownLimit, and waits for the exit.
func (e *entry) stop(s syscall.Signal) {
	e.mu.Lock()
	e.stopping = true
	process, exited := e.cmd.Process, e.exited
	e.mu.Unlock()
	_ = process.Signal(s)
	if s == syscall.SIGKILL {
		// SIGKILL also ends a process that SIGSTOP has stopped.
		<-exited
		return
	}
	select {
	case <-exited:
	case <-time.After(shutdownLimit):
		_ = process.Kill()
		<-exited
	}
}

func (e *entry) isReady() bool { return platformtest.IsReady(e.settings.Readiness) }

// checkResources records memory or descriptors above the limits as failures.
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
			e.record.addFailure(fmt.Sprintf("FAULT: %s used %d kB of memory", entryName(e.index), kilobytes))
		}
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(files) > maxDescriptors {
		e.record.addFailure(fmt.Sprintf("FAULT: %s has %d open descriptors", entryName(e.index), len(files)))
	}
}
