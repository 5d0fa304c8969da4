package testkit

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// BuildBinaries builds the commands of the repository into a new directory, which the caller must remove.
func BuildBinaries() (dir string, err error) {
	if dir, err = os.MkdirTemp("", "acacialift-bin"); err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/acacialift/acacialift/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("build: %w: %s", err, output)
	}
	return dir, nil
}

// Command returns a command in a process group of its own. The kernel continues the stopped processes of a process group whose
// last ancestor in the session ends, for example when the shell that has started the tests in the background ends. A process that
// a test has stopped with SIGSTOP would run again.
func Command(path string, arguments ...string) *exec.Cmd {
	command := exec.Command(path, arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return command
}

// processHost returns a loopback address that depends on the ID of this test process. Outgoing connections and other test
// processes use other addresses, and therefore cannot occupy the port of a server while it is restarted.
func processHost() string {
	const idBits = 22
	id := os.Getpid() & (1<<idBits - 1)
	return net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(id)).String()
}

// FreeAddresses returns distinct loopback addresses with unused ports. The spec fails if there are not enough.
func FreeAddresses(count int) []string {
	ginkgo.GinkgoHelper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", net.JoinHostPort(processHost(), "0"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// EntrySettings holds the settings of an acacia-entry process that listens on loopback addresses.
type EntrySettings struct {
	Instance string
	Domain   string
	// Store is the address of the platform's store.
	Store string
	Seeds []string
	// Callers, Readiness, Peers and Metrics are listening addresses.
	Callers, Readiness, Peers, Metrics string
	// MemoryMB is the memory of the instance; zero if it is not known.
	MemoryMB int
	// MaxConnections bounds the callers' connections; the default is 100.
	MaxConnections int
	// Queue, ReturnTimes and Pace are the modes of the scheduling; the defaults are off.
	Queue, ReturnTimes, Pace string
}

// Write replaces the settings file atomically, because the process may read it at the same time.
func (s *EntrySettings) Write(path string) error {
	seeds := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		seeds[i] = fmt.Sprintf("%q", seed)
	}
	text := fmt.Sprintf(`instance: %s
domain: %s
region: west
addresses: {callers: %q, readiness: %q, peers: %q, metrics: %q}
platform: %q
seeds: [%s]
peers_key: a-key-of-sixteen-bytes
bounds: {stop_grace: 8s, strict_revocation: true, revocation_time: 5s, retry_ratio: 0.2, retry_slack: 100,
  retry_window: 10s, cold_factor: 1.5, cold_slack: 5, least_instances: 1, max_connections: %d}
limits: {memory_mb: %d}
scheduling: {queue: %s, return_times: %s, pace: %s}
`, s.Instance, s.Domain, s.Callers, s.Readiness, s.Peers, s.Metrics, s.Store, strings.Join(seeds, ", "),
		cmp.Or(s.MaxConnections, 100), s.MemoryMB, cmp.Or(s.Queue, "off"), cmp.Or(s.ReturnTimes, "off"), cmp.Or(s.Pace, "off"))
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
