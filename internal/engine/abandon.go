package engine

import "net"

// abandon closes the connection of an exchange that has not ended in order. If the peer has not acknowledged the whole request, it resets
// the connection: otherwise the kernel would go on sending the request, and deliver it when the peer can be reached again, seconds after
// the caller was answered.
func abandon(raw net.Conn) {
	if conn, ok := raw.(*net.TCPConn); ok && hasUnackedData(raw) {
		_ = conn.SetLinger(0)
	}
	_ = raw.Close()
}

// hasUnackedData reports whether the peer has not acknowledged all bytes that were written to a connection.
func hasUnackedData(raw net.Conn) bool {
	info := tcpInfo(raw)
	return info.Unacked > 0 || info.Notsent_bytes > 0
}
