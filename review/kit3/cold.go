package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	coldTime = 3 * time.Second
	// coldCrash is the number of requests within a second that crash a cold server: twice its rate.
	coldCrash = 28
	coldWork  = 30 * time.Millisecond
)

// plainServer is a server of the plain service, several of which run in one process. It may go dark: it answers nothing, not even the opening
// of a connection, and is back as a new start under its id, cold.
type plainServer struct {
	id       string
	address  string
	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[net.Conn]bool
	isDark   bool
	coldEnd  time.Time
	arrivals []time.Time
}

// runPlain serves a plain server on each address of a list. On standard input it takes the lines "dark ID" and "back ID".
func runPlain(args []string) {
	flags := flag.NewFlagSet("plain", flag.ExitOnError)
	addresses := flags.String("addresses", "", "listening IP:ports, separated by commas")
	_ = flags.Parse(args)
	servers := make(map[string]*plainServer)
	for i, address := range strings.Split(*addresses, ",") {
		s := &plainServer{id: fmt.Sprintf("i-%d", i+1), address: address, conns: make(map[net.Conn]bool)}
		servers[s.id] = s
		s.listen()
	}
	sayPlain("listening")
	for input := bufio.NewScanner(os.Stdin); input.Scan(); {
		words := strings.Fields(input.Text())
		switch s := servers[words[1]]; words[0] {
		case "dark":
			s.dark()
		case "back":
			s.back()
		}
	}
	select {}
}

var plainMu sync.Mutex

// sayPlain writes a line with the time.
func sayPlain(format string, args ...any) {
	plainMu.Lock()
	defer plainMu.Unlock()
	fmt.Printf(format+" at-ms %d\n", append(args, time.Now().UnixMilli())...)
}

func (s *plainServer) listen() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(2)
	}
	s.mu.Lock()
	s.listener = listener.(*net.TCPListener)
	s.mu.Unlock()
	go s.accept(s.listener)
}

func (s *plainServer) accept(listener *net.TCPListener) {
	for {
		_ = listener.SetDeadline(time.Now().Add(20 * time.Millisecond))
		s.mu.Lock()
		isDark := s.isDark
		s.mu.Unlock()
		if isDark {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		conn, err := listener.Accept()
		if err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				continue
			}
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// setBacklog bounds the connections that wait to be accepted. Beyond it the kernel drops the packet that opens a connection.
func (s *plainServer) setBacklog(backlog int) {
	raw, err := s.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
	}
}

func (s *plainServer) dark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDark = true
	s.setBacklog(0)
	sayPlain("dark %s", s.id)
}

// back starts the server anew. The connections of before are reset, as by a machine that has started again.
func (s *plainServer) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetAll()
	for {
		_ = s.listener.SetDeadline(time.Now().Add(time.Millisecond))
		conn, err := s.listener.Accept()
		if err != nil {
			break
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.setBacklog(128)
	s.isDark, s.coldEnd, s.arrivals = false, time.Now().Add(coldTime), nil
	sayPlain("back %s", s.id)
}

func (s *plainServer) resetAll() {
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(s.conns)
}

func (s *plainServer) isUp(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isDark && s.conns[conn]
}

func (s *plainServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil || !s.isUp(conn) {
			return
		}
		id := r.Header.Get("Acacialift-Request-Id")
		if r.URL.Path == "/health" {
			s.mu.Lock()
			left := max(time.Until(s.coldEnd).Milliseconds(), 0)
			s.mu.Unlock()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: %s\r\nAcacialift-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", s.id, left)
			continue
		}
		isCold := s.arrive()
		sayPlain("run %s %s cold %t", id, s.id, isCold)
		time.Sleep(coldWork)
		if !s.isUp(conn) {
			return
		}
		text := wholeAnswer(id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %s\r\nAcacialift-Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
			id, id, len(text), text)
	}
}

// arrive counts a request, and reports whether the server is cold. Too many within a second crash a cold server for 2 s.
func (s *plainServer) arrive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !now.Before(s.coldEnd) {
		return false
	}
	s.arrivals = append(s.arrivals, now)
	within := 0
	for _, at := range s.arrivals {
		if now.Sub(at) < time.Second {
			within++
		}
	}
	if within > coldCrash {
		sayPlain("crashed %s by %d requests in a second", s.id, within)
		s.resetAll()
		_ = s.listener.Close()
		s.arrivals = nil
		time.AfterFunc(2*time.Second, func() {
			s.listen()
			s.mu.Lock()
			s.coldEnd = time.Now().Add(coldTime)
			s.mu.Unlock()
			sayPlain("back %s", s.id)
		})
	}
	return true
}

// coldCase: while the store is away, a server goes dark and comes back cold under its id. Nothing refuses a connection meanwhile.
func coldCase() {
	const (
		machines, servers = 3, 3
		coldPerS, bound   = 14.0, 26
		coldDark          = 2500 * time.Millisecond
		pause             = 7 * time.Millisecond
	)
	s := startStore()
	var addresses []string
	for range servers {
		addresses = append(addresses, freeAddress())
	}
	plain := startProcess("plain", false, os.Args[0], "plain-servers", "--addresses", strings.Join(addresses, ","))
	plain.await("listening", 5*time.Second)
	born := time.Now().UnixMilli()
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1000, "target-latency-ms": 150,
			"priority": 2, "service": "desk", "attempts": attempts, "public": true,
		}
	}
	c := configuration(route("r-book", "/book/", "non_idempotent", 1), route("r-look", "/look/", "idempotent", 2))
	c["services"].([]any)[0].(map[string]any)["cold-start-s"] = coldTime.Seconds()
	c["services"].([]any)[0].(map[string]any)["cold-per-s"] = coldPerS
	s.put("op/config", c)
	for i, address := range addresses {
		s.put(fmt.Sprintf("servers/i-%d", i+1), serverEntry("desk", address, 6, born))
	}
	var fronts []*entry
	for i := range machines {
		fronts = append(fronts, startEntry(fmt.Sprintf("front-%d", i+1), s.address, false))
	}
	time.Sleep(3500 * time.Millisecond)

	var mu sync.Mutex
	sentAt, kinds, statuses := map[string]int64{}, map[string]string{}, map[string]int{}
	counts := map[int]int{}
	var sending sync.WaitGroup
	began := time.Now()
	after := func(delay time.Duration, action func()) {
		if trouble {
			time.AfterFunc(delay, action)
		}
	}
	after(3*time.Second, func() { record("store: is away"); s.turnAway(true) })
	after(4*time.Second, func() { record("server i-1 goes dark"); fmt.Fprintln(plain.input, "dark i-1") })
	after(4*time.Second+coldDark, func() { record("server i-1 is back, cold"); fmt.Fprintln(plain.input, "back i-1") })
	// The traffic ends 8 s after the store has gone away.
	for n := 0; time.Since(began) < 11*time.Second; n++ {
		id, method, path := fmt.Sprintf("%016x", 0xf1000000+n), http.MethodPost, "/book/x"
		if n%2 == 1 {
			method, path = http.MethodGet, "/look/x"
		}
		sending.Add(1)
		go func() {
			defer sending.Done()
			mu.Lock()
			sentAt[id], kinds[id] = time.Now().UnixMilli(), method
			mu.Unlock()
			a := fronts[n%machines].request(method, path, id, time.Second, "")
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = a.status
			counts[a.status]++
		}()
		time.Sleep(pause)
	}
	sending.Wait()

	// The rule counts requests that were sent and arrived inside the same second.
	type arrival struct{ sent, at int64 }
	var cold []arrival
	ran := map[string]bool{}
	for more := true; more; {
		select {
		case line := <-plain.lines:
			var id, server string
			var isCold bool
			var at int64
			if n, _ := fmt.Sscanf(line, "run %s %s cold %t at-ms %d", &id, &server, &isCold, &at); n != 4 {
				record("plain: %s", line)
				continue
			}
			ran[id] = true
			if isCold && server == "i-1" {
				cold = append(cold, arrival{sent: sentAt[id], at: at})
			}
		default:
			more = false
		}
	}
	most := 0
	for _, first := range cold {
		n := 0
		for _, a := range cold {
			if a.sent >= first.sent && a.at < first.sent+1000 {
				n++
			}
		}
		most = max(most, n)
	}
	lost := 0
	for id := range ran {
		if kinds[id] == http.MethodPost && statuses[id] != http.StatusOK {
			lost++
			record("client: booking %s ran and was answered %d", id, statuses[id])
		}
	}
	record("answers by status: %v; most requests within a second at the cold server: %d, bound %d; bookings that ran and were not answered with success: %d",
		counts, most, bound, lost)
	if counts[200] == 0 {
		cannotRun("nothing was served")
	}
	if most > bound {
		exit(1, "FAILBACK is broken: %d requests within a second, bound %d", most, bound)
	}
}
