package controller

import (
	"bytes"
	"os"
	"strconv"
)

// residentField is the position of the resident set size, in pages, in /proc/self/statm.
const residentField = 1

// residentBytes returns the resident memory of this process, or 0 if it cannot be read.
func residentBytes() int64 {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(content)
	if len(fields) <= residentField {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
