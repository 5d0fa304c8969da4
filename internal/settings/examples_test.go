package settings_test

import (
	"fmt"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/settings"
)

// Guards against examples that cannot be started, or whose sizes and ports differ from their documentation.
var _ = DescribeTable("Examples", func(name string, basePort int, modelService, plainService string) {
	folder := filepath.Join("..", "..", "examples", name)
	read := func(file string) []byte {
		data, err := os.ReadFile(filepath.Join(folder, file))
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	addressAt := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", basePort+offset) }

	ix, err := config.ParseFile("config.yaml", read("config.yaml"))
	Expect(err).NotTo(HaveOccurred())
	Expect(ix.Document.Domains).To(HaveLen(3))
	Expect(ix.Document.Teams).To(HaveLen(10))
	Expect(ix.EndpointsOf(modelService)).To(HaveLen(20))
	Expect(ix.EndpointsOf(plainService)).To(HaveLen(3))
	for i, endpoint := range ix.EndpointsOf(modelService) {
		Expect(endpoint.Address).To(Equal(addressAt(301 + i)))
	}
	for i, endpoint := range ix.EndpointsOf(plainService) {
		Expect(endpoint.Address).To(Equal(addressAt(401 + i)))
	}
	groupProfiles, profilesByService := 0, map[string]int{}
	for _, profile := range ix.Document.Profiles {
		profilesByService[profile.Service]++
		if profile.Group == 4 {
			groupProfiles++
		}
	}
	Expect(groupProfiles).To(Equal(1))
	Expect(profilesByService).To(And(HaveLen(2), HaveEach(2)))

	list, err := config.ParseInstancesFile("instances.yaml", read("instances.yaml"))
	Expect(err).NotTo(HaveOccurred())
	Expect(list.Instances).To(HaveLen(8))
	for i, instance := range list.Instances {
		Expect(ix.Domain(instance.Domain).Region).To(Equal(instance.Region))
		Expect(instance.GatewayAddress).To(Equal(addressAt(1 + i)))
		Expect(instance.PeerAddress).To(Equal(addressAt(101 + i)))
		Expect(instance.OperatorsAddress).To(Equal(addressAt(201 + i)))

		g, err := settings.LoadGateway(filepath.Join(folder, "settings", "gateway-"+instance.Name+".yaml"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{g.Instance, g.Domain, g.Region, g.Addresses.Callers, g.Addresses.Controller}).To(Equal([]string{
			instance.Name, instance.Domain, instance.Region, instance.GatewayAddress, instance.PeerAddress,
		}))
		c, err := settings.LoadController(filepath.Join(folder, "settings", "controller-"+instance.Name+".yaml"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{c.Instance, c.Domain, c.Region, c.Addresses.Peers, c.Addresses.Operators}).To(Equal([]string{
			instance.Name, instance.Domain, instance.Region, instance.PeerAddress, instance.OperatorsAddress,
		}))
		Expect(c.Platform).To(Equal([]string{addressAt(900), addressAt(901)}))
		Expect(g.Keys.Peers).To(Equal(c.Keys.Peers))
	}
},
	Entry("vanua", "vanua", 21000, "turf-assist", "round-desk"),
	Entry("alba", "alba", 22000, "horno-modelo", "mostrador"),
)
