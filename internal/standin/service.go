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
	// Delay is the time that each request takes.
	Delay time.Duration
	// Ledger holds the bookings; services that share one act as endpoints of the same service. Nil creates a new one.
	Ledger *Ledger
}

// Ledger counts what the endpoints of a plain service executed.
type Ledger struct {
	mu sync.Mutex
	// executions counts requests other than reads by Idempotency-Key.
	executions map[string]int
	bookings   map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executions: make(map[string]int), bookings: make(map[string]int)}
}

// ServiceStats counts what a service did.
type ServiceStats struct {
	// Requests counts this endpoint's requests.
	Requests int `json:"requests"`
	// Bookings counts the bookings of the ledger.
	Bookings int `json:"bookings"`
	// Executions counts the ledger's requests other than reads by Idempotency-Key.
	Executions map[string]int `json:"executions"`
}

// Service is a fake plain service that answers any method and path.
type Service struct {
	options ServiceOptions
	server  *httpserver.Server
	ledger  *Ledger

	mu       sync.Mutex
	requests int
}

// NewService returns a service that listens at once and answers after Serve is called.
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

// begin counts a request, and an execution unless it only reads, and then takes the configured time.
func (s *Service) begin(r *http.Request) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	if !isRead(r.Method) {
		s.ledger.mu.Lock()
		s.ledger.executions[r.Header.Get("Idempotency-Key")]++
		s.ledger.mu.Unlock()
	}
	_ = sleepUntil(r.Context(), time.Now().Add(s.options.Delay))
}

func isRead(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// BookingResponse is the answer to POST /bookings.
type BookingResponse struct {
	Booking string `json:"booking"`
	Key     string `json:"key"`
}

// ExpectedBooking returns the booking number that the service gives to a booking with the key and body.
func ExpectedBooking(key string, body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(append([]byte(key+"\n"), body...)))
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		refuse(w, http.StatusBadRequest, "bad_request", "the body must be JSON")
		return
	}
	s.begin(r)
	key := r.Header.Get("Idempotency-Key")
	booking := ExpectedBooking(key, body)
	s.ledger.mu.Lock()
	s.ledger.bookings[booking]++
	s.ledger.mu.Unlock()
	writeJSON(w, http.StatusCreated, BookingResponse{Booking: booking, Key: key})
}

// ScheduleResponse is the answer to GET /schedule/NAME.
type ScheduleResponse struct {
	Schedule string `json:"schedule"`
	Digest   string `json:"digest"`
}

// ExpectedSchedule returns the answer to a read of the named schedule.
func ExpectedSchedule(name string) ScheduleResponse {
	return ScheduleResponse{Schedule: name, Digest: fmt.Sprintf("%016x", xxhash.Sum64String(name))}
}

func (s *Service) serveSchedule(w http.ResponseWriter, r *http.Request) {
	s.begin(r)
	writeJSON(w, http.StatusOK, ExpectedSchedule(strings.TrimPrefix(r.URL.Path, "/schedule/")))
}

// anyAnswer repeats a request, so that a caller can check that it arrived unchanged.
type anyAnswer struct {
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
	s.begin(r)
	writeJSON(w, http.StatusOK, anyAnswer{
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
