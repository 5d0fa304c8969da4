package process_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A process that a spec starts", func() {
	// Guards against a stopped process that the kernel continues, because the shell that has started the tests ends and the
	// process is in its process group.
	It("is in a process group of its own", func() {
		f := startFleet(fleetOptions{instances: 1, engines: 1, desks: 1, engineFlags: coldLimitedEngine})
		for name, command := range f.processes {
			group, err := syscall.Getpgid(command.Process.Pid)
			Expect(err).NotTo(HaveOccurred())
			Expect(group).To(Equal(command.Process.Pid), name)
		}
	})
})
