package engine

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fullConn accepts a number of bytes and fails then.
type fullConn struct {
	net.Conn
	room int
}

func (c *fullConn) Write(data []byte) (int, error) {
	n := min(c.room, len(data))
	c.room -= n
	if n < len(data) {
		return n, net.ErrClosed
	}
	return n, nil
}

func (c *fullConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a request that counts as unsent after its first byte, and against the opposite.
var _ = DescribeTable("send counts the accepted bytes", func(room, want int) {
	l := newLink(&fullConn{room: room}, 0)
	l.send([]byte("head"), make([]byte, 3*sendPieceBytes))
	sent, err := l.sendResult()
	Expect(sent).To(BeEquivalentTo(want))
	Expect(err != nil).To(Equal(want < 4+3*sendPieceBytes))
},
	Entry("none", 0, 0),
	Entry("one", 1, 1),
	Entry("within the second piece", sendPieceBytes+5, sendPieceBytes+5),
	Entry("all", 4*sendPieceBytes, 4+3*sendPieceBytes),
)
