package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/strictyaml"
)

const (
	maxFileBytes  = 64 << 10
	minKeyBytes   = 16
	maxLag        = 10 * time.Minute
	minLimitBytes = 1 << 10
	maxLimitBytes = 16 << 30
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62})$`)
	policies    = []Policy{PolicyLeastWait, PolicyLeastRequests, PolicyRandomTwo}
	logLevels   = []string{"trace", "debug", "info", "warn", "error"}
)

// LoadGateway reads and validates the settings file of a gateway. Invalid content is returned as a *FindingsError.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(path, data)
}

// LoadController reads and validates the settings file of a controller. Invalid content is returned as a *FindingsError.
func LoadController(path string) (*Controller, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseController(path, data)
}

// ParseGateway is LoadGateway for a file that was already read; key files are relative to the folder of path.
func ParseGateway(path string, data []byte) (*Gateway, error) {
	g := &Gateway{Common: defaultCommon(), Policy: PolicyLeastWait, Limits: Limits{
		MaxBodyBytes:     DefaultMaxBodyBytes,
		MaxBufferedBytes: DefaultMaxBufferedBytes,
		MaxHeaderBytes:   DefaultMaxHeaderBytes,
	}}
	c := newChecker(path, data, g)
	c.common(&g.Common)
	c.address("addresses.callers", g.Addresses.Callers)
	c.address("addresses.controller", g.Addresses.Controller)
	c.key("keys.peers", &g.Keys.Peers, g.Keys.PeersFile)
	c.limits(g.Limits)
	c.policy(g)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return g, nil
}

// ParseController is LoadController for a file that was already read; key files are relative to the folder of path.
func ParseController(path string, data []byte) (*Controller, error) {
	s := &Controller{Common: defaultCommon(), ListLagBound: strictyaml.Duration(DefaultListLagBound)}
	c := newChecker(path, data, s)
	c.common(&s.Common)
	c.address("addresses.peers", s.Addresses.Peers)
	c.address("addresses.operators", s.Addresses.Operators)
	if s.Addresses.Peers != "" && s.Addresses.Peers == s.Addresses.Operators {
		c.report.Add("addresses.operators", "must differ from addresses.peers")
	}
	c.key("keys.peers", &s.Keys.Peers, s.Keys.PeersFile)
	c.key("keys.operators", &s.Keys.Operators, s.Keys.OperatorsFile)
	c.platform(s.Platform)
	c.lag("list_lag_bound", s.ListLagBound)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func defaultCommon() Common {
	return Common{LogLevel: DefaultLogLevel, BalancerLag: strictyaml.Duration(DefaultBalancerLag)}
}

type checker struct {
	report *strictyaml.Report
	folder string
}

func newChecker(path string, data []byte, target any) *checker {
	return &checker{
		report: strictyaml.Decode(path, data, maxFileBytes, target),
		folder: filepath.Dir(path),
	}
}

func (c *checker) common(s *Common) {
	c.name("instance", s.Instance)
	c.name("domain", s.Domain)
	c.name("region", s.Region)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.report.Add("log_level", "must be one of %s", strings.Join(logLevels, ", "))
	}
	c.lag("balancer_lag", s.BalancerLag)
}

func (c *checker) policy(g *Gateway) {
	if !slices.Contains(policies, g.Policy) {
		c.report.Add("policy", "must be one of %s, %s, %s", PolicyLeastWait, PolicyLeastRequests, PolicyRandomTwo)
	}
	if g.Uncontrolled && g.Policy == PolicyLeastWait {
		c.report.Add("uncontrolled", "needs a baseline policy: %s depends on the load reported by owners", PolicyLeastWait)
	}
}

func (c *checker) name(path, value string) {
	switch {
	case !c.report.Has(path):
		c.report.Add(path, "the field is missing")
	case !namePattern.MatchString(value):
		c.report.Add(path, "must be 1 to 63 lower-case letters, digits or hyphens")
	}
}

func (c *checker) address(path, value string) {
	if !c.report.Has(path) {
		c.report.Add(path, "the field is missing")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.report.Add(path, "%q is not IP:port", value)
	}
}

func (c *checker) lag(path string, value strictyaml.Duration) {
	if value.Std() < 0 || value.Std() > maxLag {
		c.report.Add(path, "must be from 0s to %s", maxLag)
	}
}

func (c *checker) platform(addresses []string) {
	if len(addresses) == 0 {
		c.report.Add("platform", "at least one address is required")
	}
	for i, address := range addresses {
		c.address(fmt.Sprintf("platform[%d]", i), address)
	}
}

func (c *checker) limits(l Limits) {
	c.bytes("limits.max_body_bytes", l.MaxBodyBytes)
	c.bytes("limits.max_buffered_bytes", l.MaxBufferedBytes)
	c.bytes("limits.max_header_bytes", l.MaxHeaderBytes)
	if l.MaxBufferedBytes < l.MaxBodyBytes {
		c.report.Add("limits.max_buffered_bytes", "must not be less than limits.max_body_bytes (%d)", l.MaxBodyBytes)
	}
}

func (c *checker) bytes(path string, value int64) {
	if value < minLimitBytes || value > maxLimitBytes {
		c.report.Add(path, "must be from %d to %d bytes", minLimitBytes, int64(maxLimitBytes))
	}
}

// key validates a key. If the settings name a key file, it reads the key from there.
func (c *checker) key(path string, key *Key, file string) {
	filePath := path + "_file"
	switch {
	case c.report.Has(path) && c.report.Has(filePath):
		c.report.Add(filePath, "must not be given together with %s", path)
		return
	case c.report.Has(filePath):
		path = filePath
		content, err := c.readKey(file)
		if err != nil {
			c.report.Add(path, "the key file cannot be read: %v", err)
			return
		}
		*key = content
	case !c.report.Has(path):
		c.report.Add(path, "the field is missing; set it or %s", filePath)
		return
	}
	if len(*key) < minKeyBytes {
		c.report.Add(path, "a key must have at least %d bytes", minKeyBytes)
	}
}

// readKey returns the content of a key file without surrounding white space.
func (c *checker) readKey(file string) (Key, error) {
	if !filepath.IsAbs(file) {
		file = filepath.Join(c.folder, file)
	}
	content, err := os.ReadFile(file)
	return Key(strings.TrimSpace(string(content))), err
}
