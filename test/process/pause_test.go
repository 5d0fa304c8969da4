package process_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/platform/platformtest"
)

// firstHalf is what a crashing endpoint sends of a response without length.
const firstHalf = "first half"

// crashingEndpoint answers health checks, and crashes in the middle of each other response. Its successor has the same id and address.
type crashingEndpoint struct {
	// arrived receives a value for each request, and crash lets the endpoint send the first half of the response and crash.
	arrived, crash chan struct{}

	mu       sync.Mutex
	listener net.Listener
	open     []net.Conn
}

func startCrashingEndpoint() *crashingEndpoint {
	e := &crashingEndpoint{arrived: make(chan struct{}, 1), crash: make(chan struct{})}
	e.listen("127.0.0.1:0")
	DeferCleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.listener.Close()
	})
	return e
}

func (e *crashingEndpoint) listen(address string) {
	defer GinkgoRecover()
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	e.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open = append(e.open, conn)
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
}

func (e *crashingEndpoint) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.URL.Path == "/health" {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	e.arrived <- struct{}{}
	<-e.crash
	id := request.Header.Get("Acacialift-Request-Id")
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: "+id+"\r\nAcacialift-Response-Seal: s\r\n\r\n"+firstHalf)
	e.restart()
	e.crash <- struct{}{}
}

// restart closes all connections and listens again.
func (e *crashingEndpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for _, conn := range e.open {
		_ = conn.Close()
	}
	e.open = nil
	e.listen(e.listener.Addr().String())
}

var _ = Describe("a response without length", func() {
	// Guards against half a response that is passed on as whole: this instance was stopped while the endpoint crashed and started again under
	// its id, and took the health response of the successor, which states only the id, for a sign that the endpoint had sent everything.
	DescribeTable("is not complete if its endpoint crashed while the instance was stopped", func(pause time.Duration) {
		endpoint := startCrashingEndpoint()
		store := platformtest.NewStore()
		store.Put("op/config", `{"version":1,"routes":[{"name":"r","host":"h.example","path-prefix":"/p/","kind":"idempotent","timeout-ms":9000,`+
			`"target-latency-ms":100,"service":"s","attempts":1}],"services":[{"name":"s","health-check":"/health"}]}`)
		store.Put("servers/i-1", `{"service":"s","address":"`+endpoint.listener.Addr().String()+`","zone":"yard-1","slots":4,"state":"ready","born":1}`)
		p := startEntry(serveHTTP(store.ServeHTTP))
		Eventually(p.isReady, entryWaitLimit).Should(BeTrue())
		for _, id := range []string{"first", "second"} {
			status := make(chan int, 1)
			go func() {
				code, body := p.get(id)
				if code == http.StatusOK && body != firstHalf {
					code = 0
				}
				status <- code
			}()
			Eventually(endpoint.arrived, entryWaitLimit).Should(Receive())
			Expect(p.command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			endpoint.crash <- struct{}{}
			Eventually(endpoint.crash, entryWaitLimit).Should(Receive())
			time.Sleep(pause)
			Expect(p.command.Process.Signal(syscall.SIGCONT)).To(Succeed())
			Eventually(status, entryWaitLimit).Should(Receive(Equal(http.StatusBadGateway)), func() string { return p.output.String() })
		}
	},
		Entry("for seconds", 2*time.Second),
		Entry("for less than a second (review/14)", 600*time.Millisecond),
	)
})
