package engine

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitedConn accepts limit bytes in total. A write above the limit is short and fails.
type limitedConn struct {
	net.Conn
	limit int
}

func (c *limitedConn) Write(data []byte) (int, error) {
	n := min(c.limit, len(data))
	c.limit -= n
	if n < len(data) {
		return n, net.ErrClosed
	}
	return n, nil
}

func (c *limitedConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a request that is reported as unsent although bytes were sent, or as sent although none were. "head" has 4
// bytes.
var _ = DescribeTable("send counts the accepted bytes", func(limit, want int) {
	x := newExchangeConn(&limitedConn{limit: limit}, 0)
	x.send([]byte("head"), make([]byte, 3*sendPieceBytes))
	sent, err := x.sendResult()
	Expect(sent).To(BeEquivalentTo(want))
	Expect(err != nil).To(Equal(want < 4+3*sendPieceBytes))
},
	Entry("no byte", 0, 0),
	Entry("one byte of the head", 1, 1),
	Entry("a part of the second piece", sendPieceBytes+5, sendPieceBytes+5),
	Entry("all bytes", 4*sendPieceBytes, 4+3*sendPieceBytes),
)
