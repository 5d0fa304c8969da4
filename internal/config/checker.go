package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/acacialift/acacialift/internal/strictyaml"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker holds what the checks of one document share.
type checker struct {
	report *strictyaml.Report
	// addresses maps each address to the field that has it.
	addresses map[netip.AddrPort]string
	// endpointsOf counts the endpoints of each service.
	endpointsOf map[string]int
}

func newChecker(report *strictyaml.Report) *checker {
	return &checker{
		report:      report,
		addresses:   make(map[netip.AddrPort]string),
		endpointsOf: make(map[string]int),
	}
}

func item(section string, i int) string { return fmt.Sprintf("%s[%d]", section, i) }

// present reports a missing field and tells whether the field is there.
func (c *checker) present(path string) bool {
	if c.report.Has(path) {
		return true
	}
	c.report.Add(path, "the field is missing")
	return false
}

func (c *checker) revision(value uint64) {
	if c.present("revision") && value == 0 {
		c.report.Add("revision", "must be at least 1")
	}
}

func (c *checker) notEmpty(section string, length int) {
	if c.present(section) && length == 0 {
		c.report.Add(section, "needs at least one entry")
	}
}

func (c *checker) name(path, value string) {
	if c.present(path) && !namePattern.MatchString(value) {
		c.report.Add(path, "must be 1 to 63 lower-case letters, digits, dots, underscores or hyphens and start with "+
			"a letter or digit")
	}
}

// names checks the names of a section and returns the index of each.
func (c *checker) names(section string, count int, nameOf func(i int) string) map[string]int {
	index := make(map[string]int, count)
	for i := range count {
		path, name := item(section, i)+".name", nameOf(i)
		c.name(path, name)
		first, taken := index[name]
		switch {
		case name == "":
		case taken:
			c.report.Add(path, "%q is already the name of the entry at line %d", name,
				c.report.Line(item(section, first)+".name"))
		default:
			index[name] = i
		}
	}
	return index
}

// reference checks that a field names an entry of a section; it returns the entry's index, or -1.
func (c *checker) reference(path, value, section string, index map[string]int) int {
	if !c.present(path) || c.report.Unreadable(section) {
		return -1
	}
	i, known := index[value]
	if !known {
		c.report.Add(path, "no entry of %s has the name %q", section, value)
		return -1
	}
	return i
}

func (c *checker) address(path, value string) {
	if !c.present(path) {
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.report.Add(path, "%q is not IP:port", value)
		return
	}
	if first, taken := c.addresses[address]; taken {
		c.report.Add(path, "%s is already used by %s at line %d", value, first, c.report.Line(first))
		return
	}
	c.addresses[address] = path
}

// between checks a field that must be given.
func (c *checker) between(path string, value, low, high int64) {
	if c.present(path) {
		c.optionalBetween(path, value, low, high)
	}
}

// optionalBetween checks a field that may be left out.
func (c *checker) optionalBetween(path string, value, low, high int64) {
	if c.report.Has(path) && (value < low || value > high) {
		c.report.Add(path, "must be from %d to %d", low, high)
	}
}

func (c *checker) budget(path string, value Duration) {
	if c.present(path) && (value.Std() < time.Millisecond || value.Std() > maxBudget) {
		c.report.Add(path, "must be from 1ms to %s", maxBudget)
	}
}
