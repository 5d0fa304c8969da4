package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// The body of an answer without a length, which the server makes in two halves.
const (
	firstHalf  = "first half of the answer 0123456789\n"
	secondHalf = "second half of the answer 9876543210\n"
	// workTime is the time until the first half, halfTime that between the halves.
	workTime = 100 * time.Millisecond
	halfTime = 500 * time.Millisecond
)

// child is a server that runs as a process of its own, so that it can be killed.
type child struct {
	id, address string
	cmd         *exec.Cmd
}

func (c *child) start() {
	self, err := os.Executable()
	if err != nil {
		fail("%v", err)
	}
	c.cmd = exec.Command(self, "server", c.address, c.id)
	c.cmd.Stderr = os.Stderr
	if err := c.cmd.Start(); err != nil {
		fail("server: %v", err)
	}
	processes = append(processes, c.cmd)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if r := call(c.address, request{method: "GET", target: "/health", host: "health"}, time.Second); r.status == 200 {
			return
		}
		if time.Now().After(until) {
			fail("the server does not start")
		}
	}
}

func (c *child) kill() {
	_ = c.cmd.Process.Signal(syscall.SIGKILL)
	_ = c.cmd.Wait()
}

func (c *child) entry(sequence int, born int64) string {
	return fmt.Sprintf(`{"service":"desk","address":%q,"zone":"nadi-yard","version":"v1","slots":6,"state":"ready",`+
		`"cold-remaining-ms":0,"sequence":%d,"born":%d}`, c.address, sequence, born)
}

// serveChild is the program of a child: a sound server of a plain service whose answers have neither a length nor chunks and end
// with their connection.
func serveChild(address, id string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveChildConn(conn, id)
	}
}

func serveChildConn(conn net.Conn, id string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	requestID := r.Header.Get("Acacialift-Request-Id")
	if r.Header.Get("Acacialift-Expect-Instance") != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAcacialift-Request-Id: %s\r\nAcacialift-Instance-Id: %s\r\n"+
			"Content-Length: 0\r\nConnection: close\r\n\r\n", requestID, id)
		return
	}
	time.Sleep(workTime)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %s\r\nAcacialift-Response-Seal: seal-%s\r\nConnection: close\r\n\r\n%s",
		requestID, requestID, firstHalf)
	time.Sleep(halfTime)
	fmt.Fprint(conn, secondHalf)
}
