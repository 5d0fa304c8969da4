package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// InvalidStatuses holds what follows the version in status lines without a status from 100 to 599.
var InvalidStatuses = []string{
	"000 X", "001 X", "00 X", "0 X", "050 X", "099 X", "600 X", "601 X", "799 X", "999 X", "+20 X", "-20 X", "+200 X", "-200 X", " 200 X",
	" 20 X", "2 0 X", "20 X", "2000 X", "0200 X", "1e2 X", "0x1 X", "2.0 X", "20x X", "\t200 X", "200\tX", "OK", "X 200", "", " ", "\u0662\u0660\u0660 X",
}

// TruncatedResponse answers each request on a loopback address with the first bytes of a response, and ends the connection after them.
type TruncatedResponse struct {
	// Address is the listening IP:port.
	Address string
	// Length is the number of bytes to send. It may be changed between requests.
	Length atomic.Int64
}

// ServeTruncated starts a TruncatedResponse that sends nothing until its Length is set. With reset, a response that is not sent whole
// ends with a reset of the connection. The listener closes at the end of the spec.
func ServeTruncated(response string, reset bool) *TruncatedResponse {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	t := &TruncatedResponse{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.answer(conn.(*net.TCPConn), response, reset)
		}
	}()
	return t
}

func (t *TruncatedResponse) answer(conn *net.TCPConn, response string, reset bool) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response[:t.Length.Load()])
	}
	if reset && int(t.Length.Load()) < len(response) {
		// A reset may discard bytes that have not arrived yet.
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}
