package engine

import (
	"errors"
	"syscall"
	"time"
)

// errNotSent means that a response that ends with its connection has ended before the request was sent completely.
var errNotSent = errors.New("the response ended before the request was sent")

// confirmEnd returns an error unless the connection has ended in order and after the whole request was sent. It is called after the end
// of a response that only the end of the connection ends. The kernel reports the error of a reset to one system call: if the write of the
// request gets it, the read sees an ordinary end of the stream. The connection is then closed in both directions; after an ordinary end
// this side could still send.
func (x *exchangeConn) confirmEnd() error {
	if !x.awaitSend(sendEndTimeout) {
		return errNotSent
	}
	if x.sendErr != nil {
		return x.sendErr
	}
	if tcpState(x.raw) == tcpClosed {
		return syscall.ECONNRESET
	}
	return nil
}

// isOpen reports whether the peer has not ended the connection, also not after bytes that are not read yet.
func (x *exchangeConn) isOpen() bool { return tcpState(x.raw) == tcpEstablished }

// sinceData returns the time since the peer's last data has arrived in the kernel, which also goes on while this process stands still;
// zero if it is not known.
func (x *exchangeConn) sinceData() time.Duration {
	return time.Duration(tcpInfo(x.raw).Last_data_recv) * time.Millisecond
}
