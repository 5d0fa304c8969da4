package lab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of ticks per second in the CPU times that Linux reports (USER_HZ).
const clockTicks = 100

// cpuTimes is the CPU time of the machine since its boot, in ticks.
type cpuTimes struct{ busy, total float64 }

// idleColumns are the columns of /proc/stat for idle time and I/O wait.
var idleColumns = map[int]bool{3: true, 4: true}

// statColumns is the number of columns to sum up. It excludes the guest columns, whose time the user columns include.
const statColumns = 8

func readMachineCPU() cpuTimes {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cpuTimes{}
	}
	line, _, _ := strings.Cut(string(data), "\n")
	return parseCPU(line)
}

func parseCPU(line string) cpuTimes {
	var times cpuTimes
	for i, field := range strings.Fields(line)[1:] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil || i >= statColumns {
			break
		}
		times.total += ticks
		if !idleColumns[i] {
			times.busy += ticks
		}
	}
	return times
}

// busyFractionSince returns the busy fraction of the machine's CPU time since earlier values, from 0 to 1.
func (c cpuTimes) busyFractionSince(before cpuTimes) float64 {
	if c.total <= before.total {
		return 0
	}
	return (c.busy - before.busy) / (c.total - before.total)
}

// processUsage is the CPU time and the resident memory of a process.
type processUsage struct {
	cpu           time.Duration
	residentBytes int64
}

var errStatFormat = errors.New("unexpected format of /proc/PID/stat")

func readProcessUsage(pid int) (processUsage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	return parseUsage(data)
}

// parseUsage parses the content of /proc/PID/stat. The process name may contain spaces and parentheses; it ends at the last
// closing parenthesis.
func parseUsage(data []byte) (processUsage, error) {
	const userTime, systemTime, residentPages = 11, 12, 21
	end := bytes.LastIndexByte(data, ')')
	if end < 0 {
		return processUsage{}, errStatFormat
	}
	fields := strings.Fields(string(data[end+1:]))
	if len(fields) <= residentPages {
		return processUsage{}, errStatFormat
	}
	var values [3]int64
	for i, column := range []int{userTime, systemTime, residentPages} {
		value, err := strconv.ParseInt(fields[column], 10, 64)
		if err != nil {
			return processUsage{}, err
		}
		values[i] = value
	}
	return processUsage{
		cpu:           time.Duration(values[0]+values[1]) * time.Second / clockTicks,
		residentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}

// Commit returns the Git commit of the working directory, or an empty string outside a repository. It runs git because the
// binary may have been built without version information.
func Commit() string {
	output, err := exec.Command("git", "rev-parse", "--short=10", "HEAD").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(output))
}
