package lab

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// cpuTimes is the machine's CPU time since its start in ticks.
type cpuTimes struct{ busy, total float64 }

// idleColumns are those of /proc/stat that count idle time and waits for I/O.
var idleColumns = map[int]bool{3: true, 4: true}

// statColumns leaves out the guest columns, which the user columns include.
const statColumns = 8

func machineCPU() cpuTimes {
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

// shareSince returns the busy share of the whole machine since an earlier reading, 0 to 1.
func (c cpuTimes) shareSince(before cpuTimes) float64 {
	if c.total <= before.total {
		return 0
	}
	return (c.busy - before.busy) / (c.total - before.total)
}

// Commit returns the revision of the working directory, or an empty string outside a repository. The build may leave
// it out of the binary.
func Commit() string {
	output, err := exec.Command("git", "rev-parse", "--short=10", "HEAD").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(output))
}
