package engine_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
)

const (
	// uploadRepetitions is the number of uploads of each size. Which system call gets the error of a reset depends on the times.
	uploadRepetitions = 200
	// parallelUploads is the number of uploads at a time.
	parallelUploads = 8
	partOfAnswer    = "id: 1\ndata: a part of the answer\n\n"
)

// respondAndResetUpload returns a script that reads a little of the request, responds without length, and resets the connection.
func respondAndResetUpload(contentType string, pause time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 512))
		_, _ = fmt.Fprintf(conn, "%sContent-Type: %s\r\n\r\n%s", ok, contentType, partOfAnswer)
		time.Sleep(pause)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// countComplete sends uploads and returns how many of their responses are taken for complete.
func countComplete(req engine.Request, do func(engine.Request) error) int {
	var complete atomic.Int64
	var group sync.WaitGroup
	for range parallelUploads {
		group.Go(func() {
			for range uploadRepetitions / parallelUploads {
				if do(req) == nil {
					complete.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(complete.Load())
}

// Guards against a part of a response that is taken for the complete one. The kernel reports the error of a reset once: if the write of
// the upload gets it, the read of a response without length sees the end of the stream.
var _ = Describe("a response without length to an upload that is reset", func() {
	for _, contentType := range []string{"text/plain", "text/event-stream"} {
		for _, bytesSent := range []int{16 << 10, 256 << 10, 1 << 20, 8 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
				It(fmt.Sprintf("is incomplete: %s, %d KiB, reset after %v", contentType, bytesSent>>10, pause), func() {
					client := engine.NewClientWithOptions(engine.ClientOptions{Reuse: true, AllowUnframed: true})
					req := requestTo(respondAndResetUpload(contentType, pause))
					req.Body = bytes.Repeat([]byte("x"), bytesSent)
					complete := countComplete(req, func(req engine.Request) error {
						return client.Do(context.Background(), req, nil, &recorder{})
					})
					fetched := countComplete(req, func(req engine.Request) error {
						_, err := client.Fetch(context.Background(), req, 1<<20)
						return err
					})
					GinkgoWriter.Printf("complete of %d: Do %d, Fetch %d\n", uploadRepetitions, complete, fetched)
					Expect(complete + fetched).To(BeZero())
				})
			}
		}
	}

	// Guards against sound responses without length that are refused: the endpoint reads the upload before or while it responds.
	DescribeTable("stays complete if the whole upload was read", func(bytesSent int) {
		client := engine.NewClientWithOptions(engine.ClientOptions{Reuse: true, AllowUnframed: true})
		req := requestTo(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, ok+"\r\nfirst ")
			readRequest(conn)
			_, _ = io.WriteString(conn, "last")
		})
		req.Body = bytes.Repeat([]byte("x"), bytesSent)
		for range 50 {
			response, err := client.Fetch(context.Background(), req, 1<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(http.StatusOK))
			Expect(string(response.Body)).To(Equal("first last"))
		}
	},
		Entry("2 bytes", 2), Entry("16 KiB", 16<<10), Entry("1 MiB", 1<<20), Entry("8 MiB", 8<<20),
	)

	// Guards against a response that counts as complete although its endpoint has closed its side before the request was sent, and against a
	// wait without end for an upload that nobody reads.
	It("is incomplete if the upload is never read", func() {
		done := make(chan struct{})
		client := engine.NewClientWithOptions(engine.ClientOptions{Reuse: true, AllowUnframed: true})
		req := requestTo(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, ok+"\r\n"+partOfAnswer)
			_ = conn.CloseWrite()
			<-done
		})
		DeferCleanup(func() { close(done) })
		req.Body = make([]byte, unbufferableBytes)
		started := time.Now()
		Expect(client.Do(context.Background(), req, nil, &recorder{})).To(MatchError(engine.ErrIncomplete))
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
	})
})
