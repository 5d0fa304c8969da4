package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/httpserver"
)

// ServiceOptions configures a Service.
type ServiceOptions struct {
	// Address is the listening IP:port.
	Address string
	// Delay is the duration of each request.
	Delay time.Duration
	// Ledger records the bookings. Services with the same ledger act as endpoints of one plain service. The default is a
	// new ledger.
	Ledger *Ledger
}

// Ledger counts the requests and bookings that the endpoints of a plain service have executed.
type Ledger struct {
	mu sync.Mutex
	// executions counts the requests that are not read-only by Idempotency-Key, bookings the bookings by booking number.
	executions map[string]int
	bookings   map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executions: make(map[string]int), bookings: make(map[string]int)}
}

// ServiceStats holds the counts of a service.
type ServiceStats struct {
	// Requests counts the requests to this endpoint.
	Requests int `json:"requests"`
	// Bookings counts the bookings in the ledger.
	Bookings int `json:"bookings"`
	// Executions counts the requests in the ledger, which are not read-only, by Idempotency-Key.
	Executions map[string]int `json:"executions"`
}

// Service is a fake plain service that accepts any method and path.
type Service struct {
	options ServiceOptions
	server  *httpserver.Server
	ledger  *Ledger

	mu       sync.Mutex
	requests int
}

// NewService returns a service that already listens. It responds once Serve is called.
func NewService(options ServiceOptions) (*Service, error) {
	s := &Service{options: options, ledger: options.Ledger}
	if s.ledger == nil {
		s.ledger = NewLedger()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/stats", s.serveStats)
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /schedule/", s.serveSchedule)
	mux.HandleFunc("/", s.serveAny)
	server, err := httpserver.New(httpserver.Options{Address: options.Address, Handler: mux})
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.server.Address() }

// Serve runs the service until the context ends.
func (s *Service) Serve(ctx context.Context) error { return s.server.Serve(ctx) }

// Stats returns the counts so far.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	stats := ServiceStats{Requests: s.requests}
	s.mu.Unlock()
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	stats.Executions = maps.Clone(s.ledger.executions)
	for _, n := range s.ledger.bookings {
		stats.Bookings += n
	}
	return stats
}

// recordAndDelay counts a request, and an execution unless the request is read-only, and then waits for the configured
// delay.
func (s *Service) recordAndDelay(r *http.Request) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	if !isReadOnly(r.Method) {
		s.ledger.mu.Lock()
		s.ledger.executions[r.Header.Get("Idempotency-Key")]++
		s.ledger.mu.Unlock()
	}
	_ = sleepUntil(r.Context(), time.Now().Add(s.options.Delay))
}

func isReadOnly(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// BookingResponse is the response to POST /bookings.
type BookingResponse struct {
	Booking string `json:"booking"`
	Key     string `json:"key"`
}

// ExpectedBooking returns the booking number that the service assigns to a booking with the given key and body.
func ExpectedBooking(key string, body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(append([]byte(key+"\n"), body...)))
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		refuse(w, http.StatusBadRequest, "bad_request", "the body must be JSON")
		return
	}
	s.recordAndDelay(r)
	key := r.Header.Get("Idempotency-Key")
	booking := ExpectedBooking(key, body)
	s.ledger.mu.Lock()
	s.ledger.bookings[booking]++
	s.ledger.mu.Unlock()
	writeJSON(w, http.StatusCreated, BookingResponse{Booking: booking, Key: key})
}

// ScheduleResponse is the response to GET /schedule/NAME.
type ScheduleResponse struct {
	Schedule string `json:"schedule"`
	Digest   string `json:"digest"`
}

// ExpectedSchedule returns the response to GET /schedule/NAME.
func ExpectedSchedule(name string) ScheduleResponse {
	return ScheduleResponse{Schedule: name, Digest: fmt.Sprintf("%016x", xxhash.Sum64String(name))}
}

func (s *Service) serveSchedule(w http.ResponseWriter, r *http.Request) {
	s.recordAndDelay(r)
	writeJSON(w, http.StatusOK, ExpectedSchedule(strings.TrimPrefix(r.URL.Path, "/schedule/")))
}

// echoResponse describes the received request, which lets a caller check that it arrived unchanged.
type echoResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Bytes  int    `json:"bytes"`
	Hash   string `json:"hash"`
}

func (s *Service) serveAny(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.recordAndDelay(r)
	writeJSON(w, http.StatusOK, echoResponse{
		Method: r.Method,
		Path:   r.URL.Path,
		Query:  r.URL.RawQuery,
		Bytes:  len(body),
		Hash:   fmt.Sprintf("%016x", xxhash.Sum64(body)),
	})
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}
