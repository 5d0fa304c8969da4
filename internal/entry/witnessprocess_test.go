package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	// endpointVariable holds the id of an endpoint. The test binary runs as an endpoint if it is set.
	endpointVariable = "ENTRY_TEST_ENDPOINT"
	// addressVariable holds the address at which the endpoint listens. If it is not set, the endpoint has inherited the listener as file 3.
	addressVariable = "ENTRY_TEST_ADDRESS"
	// pauseHeader of a request is the time after which the endpoint kills itself in the middle of its response. Without it, the response is whole.
	pauseHeader = "X-Pause"
)

func TestMain(m *testing.M) {
	if id := os.Getenv(endpointVariable); id != "" {
		if err := serveUntilKilled(id); err != nil {
			fmt.Fprintln(os.Stderr, "endpoint:", err)
		}
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func listenAsEndpoint() (net.Listener, error) {
	if address := os.Getenv(addressVariable); address != "" {
		return net.Listen("tcp", address)
	}
	return net.FileListener(os.NewFile(3, "listener"))
}

// serveUntilKilled runs an endpoint that states only its id and whose responses have no length.
func serveUntilKilled(id string) error {
	listener, err := listenAsEndpoint()
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodGet {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
				return
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(unframedTextHead, "%ID", r.Header.Get("Acacialift-Request-Id"))+"half")
			if pause, err := time.ParseDuration(r.Header.Get(pauseHeader)); err == nil {
				time.Sleep(pause)
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			}
			_, _ = io.WriteString(conn, "-whole")
		}()
	}
}

// fixedAddress is a listener that stands for one of another process.
type fixedAddress struct {
	net.Listener
	address net.Addr
}

func (f fixedAddress) Addr() net.Addr { return f.address }

// processEndpoint keeps a process of the test binary running as an endpoint. Its successors listen at the same address at once, or inherit
// the listener, whose queue of connections then survives.
func processEndpoint(inherits bool) *fakeEndpoint {
	GinkgoHelper()
	address := testkit.FreeAddresses(1)[0]
	variables := []string{endpointVariable + "=i-0", addressVariable + "=" + address}
	var files []*os.File
	if inherits {
		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		file, err := listener.(*net.TCPListener).File()
		Expect(err).NotTo(HaveOccurred())
		_ = listener.Close()
		variables, files = variables[:1], []*os.File{file}
	}
	stop := make(chan struct{})
	var supervisor sync.WaitGroup
	supervisor.Go(func() {
		for {
			cmd := testkit.Command(os.Args[0])
			cmd.Env, cmd.ExtraFiles, cmd.Stderr = append(os.Environ(), variables...), files, os.Stderr
			if cmd.Start() != nil {
				return
			}
			ended := make(chan struct{})
			go func() {
				_ = cmd.Wait()
				close(ended)
			}()
			select {
			case <-ended:
			case <-stop:
				_ = cmd.Process.Kill()
				<-ended
				return
			}
		}
	})
	DeferCleanup(func() {
		close(stop)
		supervisor.Wait()
		for _, file := range files {
			_ = file.Close()
		}
	})
	resolved, err := net.ResolveTCPAddr("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return &fakeEndpoint{listener: fixedAddress{address: resolved}}
}

var _ = Describe("a process of a plain endpoint that is killed in the middle of a response without length, with a successor at once", func() {
	// Guards against a half of a response that is complete for the caller, because the successor states the same id.
	DescribeTable("does not complete the response", func(pause string, inherits bool) {
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{processEndpoint(inherits)}, withLog(&log))
		Eventually(func() string { return r.call("/once/").body }, waitTimeout, 10*time.Millisecond).Should(Equal("half-whole"))
		sent := len(log.String())
		var c killCount
		for range kills {
			got := r.call("/once/", pauseHeader, pause)
			Expect(got.body).NotTo(Equal("half-whole"))
			c.count(got, &log, sent)
			// A request at the new process shows that it has started.
			Eventually(func() string { return r.call("/safe/").body }, waitTimeout, 10*time.Millisecond).Should(Equal("half-whole"))
			sent = len(log.String())
		}
		c.expect()
	},
		Entry("at once", "0s", false), Entry("after 5 ms", "5ms", false), Entry("after 50 ms", "50ms", false),
		// A connection that a process has not accepted yet reaches its successor if that inherits the listener.
		Entry("after 50 ms, with an inherited listener", "50ms", true),
	)
})
