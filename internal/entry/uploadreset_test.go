package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// earlyAnswer returns an endpoint that sends a response without reading the request, and then resets the connection. It answers health checks
// and requests for a report like a sound endpoint.
func earlyAnswer(response string) *fakeEndpoint {
	e := newEndpoint(nil)
	_ = e.listener.Close()
	listener, err := net.Listen("tcp", e.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.answerEarly(conn, response)
		}
	}()
	return e
}

func (e *fakeEndpoint) answerEarly(conn net.Conn, response string) {
	defer conn.Close()
	head := make([]byte, 2048)
	n, _ := io.ReadAtLeast(conn, head, 64)
	if strings.HasPrefix(string(head[:n]), "GET ") {
		e.respondWithIncarnation(conn)
		return
	}
	_, _ = io.WriteString(conn, response)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// upload sends a request with a body of some size and returns the response.
func (r *rig) upload(path string, size int) reply {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request := r.newRequest(context.Background(), path)
	body := strings.NewReader(strings.Repeat("x", size))
	request.Body, request.ContentLength = io.NopCloser(body), int64(size)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

var _ = Describe("a long upload that an endpoint answers at once without length, and resets", func() {
	// Guards against callers that get a part of a response as the complete one: the endpoint lives on, so that only the connection shows it.
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, size := range []int{256 << 10, 1 << 20, 4 << 20} {
			It(fmt.Sprintf("is not answered with the part: %s, %d KiB", path, size>>10), func() {
				head := unframedTextHead
				if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resume") {
					head = unframedHead
				}
				head = strings.ReplaceAll(head, "%ID", callID)
				r := newRig([]*fakeEndpoint{earlyAnswer(head + events(1, 3)), earlyAnswer(head + events(1, 3))})
				var wrong atomic.Int64
				var group sync.WaitGroup
				for range 4 {
					group.Go(func() {
						for range 10 {
							if got := r.upload(path, size); got.err == nil && got.status == http.StatusOK {
								wrong.Add(1)
							}
						}
					})
				}
				group.Wait()
				GinkgoWriter.Printf("wrong complete answers of 40: %d\n", wrong.Load())
				Expect(wrong.Load()).To(BeZero())
			})
		}
	}
})
