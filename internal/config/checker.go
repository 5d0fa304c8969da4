package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/acacialift/acacialift/internal/strictyaml"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker validates one document and collects the findings.
type checker struct {
	report *strictyaml.Report
	// addresses maps each address to the path of the field that contains it, to find duplicates.
	addresses map[netip.AddrPort]string
	// endpointCounts holds the number of endpoints of each service.
	endpointCounts map[string]int
}

func newChecker(report *strictyaml.Report) *checker {
	return &checker{
		report:         report,
		addresses:      make(map[netip.AddrPort]string),
		endpointCounts: make(map[string]int),
	}
}

func itemPath(section string, i int) string { return fmt.Sprintf("%s[%d]", section, i) }

// requireField adds a finding if the field is missing, and returns whether it is present.
func (c *checker) requireField(path string) bool {
	if c.report.Has(path) {
		return true
	}
	c.report.Add(path, "the field is missing")
	return false
}

func (c *checker) checkRevision(value uint64) {
	if c.requireField("revision") && value == 0 {
		c.report.Add("revision", "must be at least 1")
	}
}

func (c *checker) requireItems(section string, length int) {
	if c.requireField(section) && length == 0 {
		c.report.Add(section, "needs at least one entry")
	}
}

func (c *checker) checkName(path, value string) {
	if c.requireField(path) && !namePattern.MatchString(value) {
		c.report.Add(path, "must be 1 to 63 lower-case letters, digits, dots, underscores or hyphens and start with "+
			"a letter or digit")
	}
}

// checkNames checks that the names of a section are valid and unique. It returns the index of the entry for each name.
func (c *checker) checkNames(section string, count int, nameOf func(i int) string) map[string]int {
	index := make(map[string]int, count)
	for i := range count {
		path, name := itemPath(section, i)+".name", nameOf(i)
		c.checkName(path, name)
		first, duplicate := index[name]
		switch {
		case name == "":
		case duplicate:
			c.report.Add(path, "%q is already the name of the entry at line %d", name,
				c.report.Line(itemPath(section, first)+".name"))
		default:
			index[name] = i
		}
	}
	return index
}

// checkReference checks that a field contains the name of an entry of a section. It returns the entry's index, or -1.
func (c *checker) checkReference(path, value, section string, index map[string]int) int {
	if !c.requireField(path) || c.report.Unreadable(section) {
		return -1
	}
	i, known := index[value]
	if !known {
		c.report.Add(path, "no entry of %s has the name %q", section, value)
		return -1
	}
	return i
}

func (c *checker) checkAddress(path, value string) {
	if !c.requireField(path) {
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.report.Add(path, "%q is not IP:port", value)
		return
	}
	if first, duplicate := c.addresses[address]; duplicate {
		c.report.Add(path, "%s is already used by %s at line %d", value, first, c.report.Line(first))
		return
	}
	c.addresses[address] = path
}

// requireRange checks the range of a mandatory field.
func (c *checker) requireRange(path string, value, low, high int64) {
	if c.requireField(path) {
		c.checkOptionalRange(path, value, low, high)
	}
}

// checkOptionalRange checks the range of a field if it is present.
func (c *checker) checkOptionalRange(path string, value, low, high int64) {
	if c.report.Has(path) && (value < low || value > high) {
		c.report.Add(path, "must be from %d to %d", low, high)
	}
}

func (c *checker) checkBudget(path string, value Duration) {
	if c.requireField(path) && (value.Std() < time.Millisecond || value.Std() > maxBudget) {
		c.report.Add(path, "must be from 1ms to %s", maxBudget)
	}
}
