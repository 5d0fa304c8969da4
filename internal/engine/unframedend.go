package engine

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNotSent means that a response that ends with its connection has ended before the request was sent completely.
var errNotSent = errors.New("the response ended before the request was sent")

// tcpClosed is the state of a connection that has ended in both directions: TCP_CLOSE in the kernel.
const tcpClosed = 7

// confirmEnd returns an error unless the connection has ended in order and after the whole request was sent. It is called after the end
// of a response that only the end of the connection ends. The kernel reports the error of a reset to one system call: if the write of the
// request gets it, the read sees an ordinary end of the stream.
func (x *exchangeConn) confirmEnd() error {
	if !x.awaitSend(sendEndTimeout) {
		return errNotSent
	}
	if x.sendErr != nil {
		return x.sendErr
	}
	if isReset(x.raw) {
		return syscall.ECONNRESET
	}
	return nil
}

// isReset reports whether the peer has reset a connection that this side has not closed. Its state is then that of a closed connection;
// after an ordinary end of the stream this side could still send.
func isReset(raw net.Conn) bool {
	conn, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = control.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = infoErr == nil && info.State == tcpClosed
	})
	return reset
}
