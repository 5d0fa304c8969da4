package engine

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitedConn accepts a limited number of bytes; further writes fail.
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

// Guards against a request that is reported as unsent although a byte was sent, and against the opposite.
var _ = DescribeTable("send counts the accepted bytes", func(limit, want int) {
	x := newExchangeConn(&limitedConn{limit: limit}, 0)
	x.send([]byte("head"), make([]byte, 3*sendPieceBytes))
	sent, err := x.sendResult()
	Expect(sent).To(BeEquivalentTo(want))
	Expect(err != nil).To(Equal(want < 4+3*sendPieceBytes))
},
	Entry("none", 0, 0),
	Entry("one", 1, 1),
	Entry("a part of the second piece", sendPieceBytes+5, sendPieceBytes+5),
	Entry("all", 4*sendPieceBytes, 4+3*sendPieceBytes),
)
