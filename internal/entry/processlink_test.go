package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
)

// linkedServer is a server that counts its connections.
type linkedServer struct {
	*httptest.Server
	connections atomic.Int32
}

// serveLinked serves on an address; on any free one if it is empty.
func serveLinked(t *testing.T, address string) *linkedServer {
	t.Helper()
	s := &linkedServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	if address != "" {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = s.Listener.Close()
		s.Listener = listener
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *linkedServer) address() string { return s.Listener.Addr().String() }

// sendLinked sends one request over the link, which must be answered.
func sendLinked(t *testing.T, l *processLink, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := l.send(ctx, engine.Request{Method: http.MethodPost, Target: "/", Address: address}, 100)
	if err != nil || response.Status != http.StatusOK {
		t.Fatalf("no response: %v", err)
	}
}

// Guards against sound responses that are broken off because the process that holds their memory is not recognized, and against more than one
// connection for each control request.
func TestLinkShowsOneProcess(t *testing.T) {
	s := serveLinked(t, "")
	l := &processLink{client: engine.NewClient()}
	const requests = 5
	for range requests {
		sendLinked(t, l, s.address())
	}
	if !l.isIntact() {
		t.Fatal("the link is broken")
	}
	if _, err := l.sendLast(context.Background(), engine.Request{Method: http.MethodPost, Target: "/", Address: s.address()}, 100); err != nil || !l.isIntact() {
		t.Fatalf("the last request: %v", err)
	}
	if n := s.connections.Load(); n != requests+1 {
		t.Fatalf("%d connections for %d requests", n, requests+1)
	}
}

// Guards against a successor that is taken for the process that holds memory, and against control requests that fail because of the end of
// a connection on which nothing was sent.
func TestLinkNoticesSuccessor(t *testing.T) {
	s := serveLinked(t, "")
	l := &processLink{client: engine.NewClient()}
	defer l.close()
	sendLinked(t, l, s.address())
	address := s.address()
	s.Close()
	successor := serveLinked(t, address)
	sendLinked(t, l, successor.address())
	if l.isIntact() {
		t.Fatal("the link is intact after a restart")
	}
	sendLinked(t, l, successor.address())
	if l.isIntact() {
		t.Fatal("the link is intact again")
	}
}
