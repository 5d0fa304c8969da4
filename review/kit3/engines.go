package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvTotal is the memory of one engine in tokens, as in the site file.
const kvTotal = 405000

// engines are stand-ins of model servers in one process, so that the first server of a prompt knows at once when memory at another one
// expires. They take the orders reserve and release, and helpers with tickets.
type engines struct {
	mu sync.Mutex
	// tickets holds, by the address of a server and the id of a reservation, its tokens and the end of its lease.
	tickets map[string]map[string]*ticket
	// running holds the servers that run, by address, and crashedAt the time of the last crash at an address.
	running   map[string]*engine
	crashedAt map[string]time.Time
}

// engine is one server.
type engine struct {
	address, id string
	born        int64
	listener    net.Listener
	mu          sync.Mutex
	conns       map[net.Conn]bool
}

// stallTime is how long work stalls that depends on a server that is dead, before it is cut off.
const stallTime = 1500 * time.Millisecond

type ticket struct {
	tokens  int64
	expires time.Time
}

// runEngines serves one engine on each address of a list. The id of the first is i-1. On standard input it takes the lines "crash ADDRESS"
// and "start ADDRESS ID BORN".
func runEngines(args []string) {
	flags := flag.NewFlagSet("engines", flag.ExitOnError)
	addresses := flags.String("addresses", "", "listening IP:ports, separated by commas")
	born := flags.Int64("born", 0, "start of the servers in Unix ms")
	_ = flags.Parse(args)
	s := &engines{tickets: make(map[string]map[string]*ticket), running: make(map[string]*engine), crashedAt: make(map[string]time.Time)}
	for i, address := range strings.Split(*addresses, ",") {
		s.start(address, fmt.Sprintf("i-%d", i+1), *born)
	}
	go s.expire()
	s.say("listening")
	for input := bufio.NewScanner(os.Stdin); input.Scan(); {
		words := strings.Fields(input.Text())
		switch {
		case len(words) == 2 && words[0] == "crash":
			s.crash(words[1])
		case len(words) == 4 && words[0] == "start":
			started, _ := strconv.ParseInt(words[3], 10, 64)
			s.start(words[1], words[2], started)
			s.say("started %s", words[1])
		}
	}
	select {}
}

func (s *engines) start(address, id string, born int64) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(2)
	}
	e := &engine{address: address, id: id, born: born, listener: listener, conns: make(map[net.Conn]bool)}
	s.mu.Lock()
	s.tickets[address], s.running[address] = make(map[string]*ticket), e
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go s.serve(conn, e)
		}
	}()
}

// crash ends a server as the end of its process would: its listener and its connections close, and it forgets what it held.
func (s *engines) crash(address string) {
	s.mu.Lock()
	e := s.running[address]
	s.tickets[address], s.crashedAt[address] = nil, time.Now()
	delete(s.running, address)
	s.mu.Unlock()
	_ = e.listener.Close()
	e.mu.Lock()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	s.say("crashed %s", address)
}

func (s *engines) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// expire ends leases in time.
func (s *engines) expire() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for address, held := range s.tickets {
			for id, t := range held {
				if time.Now().After(t.expires) {
					delete(held, id)
					fmt.Printf("memory %s of %d tokens has expired at %s\n", id, t.tokens, address)
				}
			}
		}
		s.mu.Unlock()
	}
}

// holds reports whether all tickets of a list of helpers are held. If one is not because its server has crashed, it returns the time of that.
func (s *engines) holds(helpers string) (tickets int, all bool, crashedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, helper := range strings.Split(helpers, ",") {
		address, id, hasTicket := strings.Cut(strings.TrimSpace(helper), "/")
		if !hasTicket {
			continue
		}
		tickets++
		if s.tickets[address] == nil || s.tickets[address][id] == nil {
			return tickets, false, s.crashedAt[address]
		}
	}
	return tickets, true, time.Time{}
}

func (s *engines) serve(conn net.Conn, e *engine) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch r.URL.Path {
		case "/health", "/v1/report":
			s.answerJSON(conn, http.StatusOK, e.id, map[string]any{
				"stage": "combined", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": 1, "kv-used": 0, "kv-total": kvTotal,
				"handles": 0, "born": e.born, "pace": 1,
			})
		case "/v1/order":
			status, free := s.order(e.address, body)
			s.answerJSON(conn, status, e.id, map[string]any{"free": free})
		default:
			if !s.answer(conn, r, e) {
				return
			}
		}
		if r.Close {
			return
		}
	}
}

func (s *engines) answerJSON(conn net.Conn, status int, id string, value any) {
	text, _ := json.Marshal(value)
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nAcacialift-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, len(text), text)
}

func (s *engines) order(address string, body []byte) (status int, free int64) {
	var order struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int64  `json:"tokens"`
		HoldMS    int64  `json:"hold-ms"`
	}
	if json.Unmarshal(body, &order) != nil {
		return http.StatusBadRequest, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.tickets[address]
	free = kvTotal
	for _, t := range held {
		free -= t.tokens
	}
	switch t := held[order.ID]; {
	case order.Operation == "release":
		if t != nil {
			fmt.Printf("memory %s is released at %s\n", order.ID, address)
		}
		delete(held, order.ID)
		return http.StatusOK, free
	case order.Operation != "reserve" || order.Tokens > kvTotal || order.HoldMS > 20000:
		return http.StatusBadRequest, free
	case t != nil:
		t.expires = time.Now().Add(time.Duration(order.HoldMS) * time.Millisecond)
		return http.StatusOK, free
	case order.Tokens > free:
		return http.StatusConflict, free
	}
	held[order.ID] = &ticket{tokens: order.Tokens, expires: time.Now().Add(time.Duration(order.HoldMS) * time.Millisecond)}
	fmt.Printf("memory %s of %d tokens is reserved at %s for %d ms\n", order.ID, order.Tokens, address, order.HoldMS)
	return http.StatusOK, free - order.Tokens
}

// answer answers stream-N-M: N events without length, one each M ms. It cuts the request off when memory of it has expired, and a while
// after a server that holds memory of it has crashed. busy-N is turned away with a Retry-After of N seconds. It returns false if the connection
// ends.
func (s *engines) answer(conn net.Conn, r *http.Request, e *engine) bool {
	requestID := r.Header.Get("Acacialift-Request-Id")
	head := "Acacialift-Request-Id: " + requestID + "\r\n"
	if expected := r.Header.Get("Acacialift-Expect-Instance"); expected != "" && expected != e.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	words := strings.Split(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], "-")
	if words[0] == "busy" {
		s.say("turned-away %s at %s %s retry-after %s", requestID, e.id, e.address, words[1])
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sAcacialift-Not-Executed: full\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
			head, words[1])
		return err == nil
	}
	helpers := r.Header.Get("Acacialift-Helpers")
	tickets, held, _ := s.holds(helpers)
	if !held {
		s.say("turned-away %s: a ticket is missing", requestID)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sAcacialift-Not-Executed: helpers\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	count, _ := strconv.Atoi(words[1])
	pause, _ := strconv.Atoi(words[2])
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.say("run %s at %s with %d tickets, after event %d", requestID, e.id, tickets, from)
	time.Sleep(500 * time.Millisecond)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sAcacialift-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", head, requestID)
	for i := from + 1; i <= count; i++ {
		if _, held, crashedAt := s.holds(helpers); !held {
			if !crashedAt.IsZero() {
				time.Sleep(time.Until(crashedAt.Add(stallTime)))
			}
			s.say("cut-off %s before event %d: memory of it is gone", requestID, i)
			return false
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: event %d of %d\n\n", i, i, count); err != nil {
			s.say("caller-left %s", requestID)
			return false
		}
		s.say("event %s %d", requestID, i)
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
	s.say("whole %s", requestID)
	return false
}
