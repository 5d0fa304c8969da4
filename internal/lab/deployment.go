// Package lab starts complete deployments of the built binaries on loopback, for demonstrations and measurements.
package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
)

// Deployment holds the configuration, the addresses and the keys from which a fleet is started.
type Deployment struct {
	Document config.Document
	List     config.InstanceList
	// PlatformAddresses are the addresses of the platform stand-in, PlatformControl is the address of its control endpoint.
	PlatformAddresses []string
	PlatformControl   string
	// PeersKey authenticates peers, OperatorsKey authenticates operators.
	PeersKey     string
	OperatorsKey string
}

// LoadExample reads a deployment from the folder of an example.
func LoadExample(folder string) (*Deployment, error) {
	data, err := os.ReadFile(filepath.Join(folder, "config.yaml"))
	if err != nil {
		return nil, err
	}
	index, err := config.Parse(data)
	if err != nil {
		return nil, err
	}
	if data, err = os.ReadFile(filepath.Join(folder, "instances.yaml")); err != nil {
		return nil, err
	}
	list, err := config.ParseInstances(data)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Document: *index.Document, List: *list}
	if d.PeersKey, err = readKey(folder, "peers.key"); err != nil {
		return nil, err
	}
	if d.OperatorsKey, err = readKey(folder, "operators.key"); err != nil {
		return nil, err
	}
	return d, d.readPlatformAddresses(folder)
}

func readKey(folder, name string) (string, error) {
	data, err := os.ReadFile(filepath.Join(folder, "keys", name))
	return strings.TrimSpace(string(data)), err
}

// readPlatformAddresses reads the platform's addresses from the settings of the first instance's controller. The control
// endpoint gets the port after the last of them.
func (d *Deployment) readPlatformAddresses(folder string) error {
	path := filepath.Join(folder, "settings", "controller-"+d.List.Instances[0].Name+".yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var controller struct {
		Platform []string `yaml:"platform"`
	}
	if err := yaml.Unmarshal(data, &controller); err != nil {
		return err
	}
	if len(controller.Platform) == 0 {
		return fmt.Errorf("%s has no platform addresses", path)
	}
	d.PlatformAddresses = controller.Platform
	last, err := net.ResolveTCPAddr("tcp", d.PlatformAddresses[len(d.PlatformAddresses)-1])
	if err != nil {
		return err
	}
	last.Port++
	d.PlatformControl = last.String()
	return nil
}

// Size describes a deployment to generate.
type Size struct {
	Instances int
	// Engines is the number of model endpoints, Servers the number of endpoints of the plain service.
	Engines int
	Servers int
	// Engine and Server contain the limits of the two services. Generate sets names, kinds and regions.
	Engine config.Service
	Server config.Service
}

// The names in generated deployments. All failure domains are in one region.
const (
	EngineService = "model"
	ServerService = "desk"
	EngineProfile = "current"
	GroupProfile  = "grouped"
	ServerProfile = "desk"

	region         = "region-1"
	domainCount    = 3
	generatedTeams = 10
	groupSize      = 4
)

// Generate returns a deployment on free ports whose configuration is valid.
func Generate(size Size) (*Deployment, error) {
	d := &Deployment{PeersKey: "lab-peers-key-0001", OperatorsKey: "lab-operators-key-0001"}
	d.List.Revision, d.Document.Revision = 1, 1
	for i := range domainCount {
		d.Document.Domains = append(d.Document.Domains, config.Domain{Name: domainName(i), Region: region})
	}
	for i := range size.Instances {
		d.List.Instances = append(d.List.Instances, config.Instance{
			Name: fmt.Sprintf("entry-%03d", i), Domain: domainName(i), Region: region,
		})
	}
	d.addServices(size)
	for i := range generatedTeams {
		d.Document.Teams = append(d.Document.Teams, config.Team{Name: fmt.Sprintf("team-%02d", i+1), Weight: 1})
	}
	if err := d.UseFreePorts(); err != nil {
		return nil, err
	}
	return d, d.validate()
}

// validate returns an error for a configuration or an instance list that controllers would reject and only log.
func (d *Deployment) validate() error {
	data, err := yaml.Marshal(d.Document)
	if err != nil {
		return err
	}
	if _, err := config.Parse(data); err != nil {
		return err
	}
	if data, err = yaml.Marshal(d.List); err != nil {
		return err
	}
	_, err = config.ParseInstances(data)
	return err
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domainCount+1) }

func (d *Deployment) addServices(size Size) {
	doc := &d.Document
	if size.Engines > 0 {
		engine := size.Engine
		engine.Name, engine.Kind, engine.Region, engine.Model = EngineService, config.KindModel, region, "model-1"
		doc.Models = []config.Model{{Name: engine.Model}}
		addService(doc, engine, "engine", size.Engines, config.FencingEnforced)
		doc.Profiles = append(doc.Profiles,
			config.Profile{
				Name: EngineProfile, Service: EngineService, DefaultBudget: config.Duration(time.Minute),
				MaxBudget: config.Duration(10 * time.Minute), MaxOutputTokens: 2048,
			},
			config.Profile{
				Name: GroupProfile, Service: EngineService, DefaultBudget: config.Duration(time.Minute),
				MaxBudget: config.Duration(10 * time.Minute), MaxOutputTokens: 2048, Group: groupSize,
			})
	}
	if size.Servers > 0 {
		server := size.Server
		server.Name, server.Kind, server.Region = ServerService, config.KindPlain, region
		addService(doc, server, "server", size.Servers, config.FencingIgnored)
		doc.Profiles = append(doc.Profiles, config.Profile{
			Name: ServerProfile, Service: ServerService, DefaultBudget: config.Duration(10 * time.Second),
			MaxBudget: config.Duration(time.Minute),
		})
	}
}

func addService(doc *config.Document, service config.Service, prefix string, count int, fencing config.Fencing) {
	if service.LongPrefills == 0 {
		service.LongPrefills = config.DefaultLongPrefills
	}
	if service.ShortShare == nil {
		share := config.DefaultShortShare
		service.ShortShare = &share
	}
	doc.Services = append(doc.Services, service)
	for i := range count {
		doc.Endpoints = append(doc.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("%s-%03d", prefix, i), Service: service.Name, Domain: domainName(i), Fencing: fencing,
		})
	}
}

// UseFreePorts replaces all addresses by addresses with ports that are currently free.
func (d *Deployment) UseFreePorts() error {
	const platforms = 2
	needed := platforms + 1 + 3*len(d.List.Instances) + len(d.Document.Endpoints)
	port, err := freePorts(needed)
	if err != nil {
		return err
	}
	next := func() string {
		port++
		return loopback(port - 1)
	}
	d.PlatformAddresses = []string{next(), next()}
	d.PlatformControl = next()
	for i := range d.List.Instances {
		instance := &d.List.Instances[i]
		instance.PeerAddress, instance.GatewayAddress, instance.OperatorsAddress = next(), next(), next()
	}
	for i := range d.Document.Endpoints {
		d.Document.Endpoints[i].Address = next()
	}
	return nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Free ports are searched above the ports of the examples and below the ephemeral port range of Linux. Within that range, an
// outgoing connection could take a port before the process listens on it.
const (
	firstFreePort = 23_000
	lastFreePort  = 32_700
	portSearches  = 50
)

// freePorts returns the first of count consecutive free ports.
func freePorts(count int) (int, error) {
	span := lastFreePort - firstFreePort - count
	if span <= 0 {
		return 0, fmt.Errorf("%d consecutive ports do not fit into the port range", count)
	}
	for range portSearches {
		first := firstFreePort + rand.IntN(span)
		if portsAreFree(first, count) {
			return first, nil
		}
	}
	return 0, errors.New("found no range of free consecutive ports")
}

func portsAreFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Service returns the first service of a kind, or nil if there is none.
func (d *Deployment) Service(kind config.ServiceKind) *config.Service {
	for i := range d.Document.Services {
		if d.Document.Services[i].Kind == kind {
			return &d.Document.Services[i]
		}
	}
	return nil
}

// Endpoints returns the endpoints of a service.
func (d *Deployment) Endpoints(service string) []config.Endpoint {
	var endpoints []config.Endpoint
	for _, endpoint := range d.Document.Endpoints {
		if endpoint.Service == service {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// Profiles returns the names of a service's profiles, either those with a group or those without.
func (d *Deployment) Profiles(service string, grouped bool) []string {
	var names []string
	for _, profile := range d.Document.Profiles {
		if profile.Service == service && (profile.Group > 0) == grouped {
			names = append(names, profile.Name)
		}
	}
	return names
}

// Gateways returns the addresses for callers of all instances.
func (d *Deployment) Gateways() []string {
	addresses := make([]string, len(d.List.Instances))
	for i, instance := range d.List.Instances {
		addresses[i] = instance.GatewayAddress
	}
	return addresses
}

// Teams returns the names of all teams.
func (d *Deployment) Teams() []string {
	names := make([]string, len(d.Document.Teams))
	for i, team := range d.Document.Teams {
		names[i] = team.Name
	}
	return names
}
