package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Execution is the record of one order that a plain service ran.
type Execution struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Body    string `json:"body"`
	Number  int    `json:"number"`
}

// Service is a stand-in for a plain service that runs whatever it receives and has no memory of keys.
type Service struct {
	name   string
	server *Server

	mu         sync.Mutex
	delay      time.Duration
	breakAfter bool
	executions []Execution
}

// StartService starts a stand-in service on loopback.
func StartService(name, address string) (*Service, error) {
	s := &Service{name: name}
	srv, err := Start(address, http.HandlerFunc(s.serve))
	s.server = srv
	return s, err
}

// Name returns the name of the service's worker.
func (s *Service) Name() string { return s.name }

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.server.Address() }

// Kill ends the service at once.
func (s *Service) Kill() { s.server.Kill() }

// Restart starts the service again at the same address.
func (s *Service) Restart() error { return s.server.Restart() }

// SetDelay sets the time between running an order and answering it.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetBreakAfter makes the service run each order and then break the connection without an answer.
func (s *Service) SetBreakAfter(b bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakAfter = b
}

// Executions returns the record of all orders that ran.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == RecordsPath {
		writeRecords(w, s.Records())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	x := Execution{Service: s.name, Key: r.Header.Get("Idempotency-Key"), Body: string(body), Number: len(s.executions) + 1}
	if r.Method != http.MethodGet {
		s.executions = append(s.executions, x)
	}
	delay, breakAfter := s.delay, s.breakAfter
	s.mu.Unlock()
	if !sleep(r.Context(), delay) {
		return
	}
	if breakAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(struct {
		Worker string `json:"worker"`
		Number int    `json:"number"`
		Path   string `json:"path"`
	}{s.name, x.Number, r.URL.Path})
}
