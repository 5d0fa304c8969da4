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
	// pauseHeader of a request is the time after which the endpoint kills itself in the middle of its response. Without it, the response is whole.
	pauseHeader = "X-Pause"
)

func TestMain(m *testing.M) {
	if id := os.Getenv(endpointVariable); id != "" {
		listener, err := net.FileListener(os.NewFile(3, "listener"))
		if err != nil {
			os.Exit(1)
		}
		serveUntilKilled(listener, id)
	}
	os.Exit(m.Run())
}

// serveUntilKilled runs an endpoint that states only its id and whose responses have no length.
func serveUntilKilled(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
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

// processEndpoint keeps a process of the test binary running as an endpoint, on a listener that its successors inherit.
func processEndpoint() *fakeEndpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	file, err := listener.(*net.TCPListener).File()
	Expect(err).NotTo(HaveOccurred())
	stop := make(chan struct{})
	var supervisor sync.WaitGroup
	supervisor.Go(func() {
		for {
			cmd := testkit.Command(os.Args[0])
			cmd.Env = append(os.Environ(), endpointVariable+"=i-0")
			cmd.ExtraFiles = []*os.File{file}
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
		_ = file.Close()
		_ = listener.Close()
	})
	return &fakeEndpoint{listener: listener}
}

var _ = Describe("a process of a plain endpoint that is killed in the middle of a response without length, with a successor at once", func() {
	// Guards against a half of a response that is complete for the caller, because the successor states the same id.
	DescribeTable("does not complete the response", func(pause string) {
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{processEndpoint()}, withLog(&log))
		Expect(r.call("/once/").body).To(Equal("half-whole"))
		sent := len(log.String())
		var c killCount
		for range kills {
			got := r.call("/once/", pauseHeader, pause)
			Expect(got.body).NotTo(Equal("half-whole"))
			sent = c.count(got, &log, sent)
			// A request at the new process shows that it has started.
			Eventually(func() string { return r.call("/safe/").body }, waitTimeout, 10*time.Millisecond).Should(Equal("half-whole"))
			sent = len(log.String())
		}
		c.expect()
	}, Entry("at once", "0s"), Entry("after 5 ms", "5ms"), Entry("after 50 ms", "50ms"))
})
