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

// runServer is a stand-in of one server, as a process of its own. It writes to standard output what it does. The first segment of
// a request's path after the route's prefix says how it answers:
//
//	unframed-N    200 without length, N ms until the head, a pause of N ms in the middle of the body, then the end of the connection
//	framed-N      200 with a length after N ms
func runServer(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	address := flags.String("address", "", "listening IP:port")
	id := flags.String("id", "", "id of the server")
	born := flags.Int64("born", 0, "start of the server in Unix ms")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(2)
	}
	s := &server{id: *id, born: *born}
	s.say("listening")
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(2)
		}
		go s.serve(conn)
	}
}

type server struct {
	id   string
	born int64
	mu   sync.Mutex
}

func (s *server) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.answer(conn, r, body) || r.Close {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends.
func (s *server) answer(conn net.Conn, r *http.Request, body []byte) bool {
	requestID := r.Header.Get("Acacialift-Request-Id")
	if r.URL.Path == "/health" || r.URL.Path == "/v1/report" {
		text, _ := json.Marshal(map[string]any{
			"stage": "combined", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": 1, "kv-used": 0, "kv-total": 405000,
			"handles": 0, "born": s.born, "pace": 1,
		})
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			s.id, len(text), text)
		return err == nil
	}
	head := "Acacialift-Request-Id: " + requestID + "\r\n"
	if expected := r.Header.Get("Acacialift-Expect-Instance"); expected != "" && expected != s.id {
		s.say("misdirected %s", requestID)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	segments := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	words := strings.Split(segments[len(segments)-1], "-")
	number := func(i int) int {
		if i >= len(words) {
			return 0
		}
		n, _ := strconv.Atoi(words[i])
		return n
	}
	seal := "Acacialift-Response-Seal: seal-" + requestID + "\r\n"
	s.say("run %s %s %s body %d", requestID, r.Method, r.URL.Path, len(body))
	if words[0] == "unframed" {
		wait := time.Duration(number(1)) * time.Millisecond
		time.Sleep(wait)
		answer := wholeAnswer(requestID)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", head, seal, answer[:len(answer)/2])
		s.say("half %s", requestID)
		time.Sleep(wait)
		fmt.Fprint(conn, answer[len(answer)/2:])
		s.say("whole %s", requestID)
		return false
	}
	time.Sleep(time.Duration(number(1)) * time.Millisecond)
	answer := wholeAnswer(requestID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, seal, len(answer), answer)
	s.say("whole %s", requestID)
	return err == nil
}

// wholeAnswer is the body of the answer to a request.
func wholeAnswer(requestID string) string {
	return strings.Repeat("answer to "+requestID+"; ", 40) + "end"
}
