package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Execution is the record of one order that a plain service ran. Number counts the orders of the service from 1.
type Execution struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Body    string `json:"body"`
	Number  int    `json:"number"`
	// At is the time at which the order ran, and Answered is set once its response was written.
	At       time.Time `json:"at"`
	Answered bool      `json:"answered"`
}

// Service is a stand-in for a plain service that runs every order it receives and does not deduplicate by key.
type Service struct {
	name   string
	server *Server

	mu           sync.Mutex
	delay        time.Duration
	dropResponse bool
	onRun        func(Execution)
	executions   []Execution
}

// StartService starts a stand-in service on the system's network; an empty address means a free port on loopback.
func StartService(name, address string) (*Service, error) {
	return StartServiceOn(nil, name, address)
}

// StartServiceOn is StartService with a listen function; nil means net.Listen.
func StartServiceOn(listen ListenFunc, name, address string) (*Service, error) {
	s := &Service{name: name}
	srv, err := StartOn(listen, address, http.HandlerFunc(s.serve))
	s.server = srv
	return s, err
}

// Name returns the name of this worker of the service.
func (s *Service) Name() string { return s.name }

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.server.Address() }

// Kill closes the listener and every connection at once; the records are kept.
func (s *Service) Kill() { s.server.Kill() }

// Restart starts the service again at the same address.
func (s *Service) Restart() error { return s.server.Restart() }

// SetDelay sets the delay between running an order and responding to it.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetDropResponse makes the service run each order and then close the connection without a response.
func (s *Service) SetDropResponse(b bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponse = b
}

// SetOnRun makes the service call f when it runs an order, before it responds.
func (s *Service) SetOnRun(f func(Execution)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRun = f
}

// Executions returns the records of all orders that ran, in the order of their execution.
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
	x := Execution{Service: s.name, Key: r.Header.Get("Idempotency-Key"), Body: string(body), Number: len(s.executions) + 1, At: time.Now()}
	if r.Method != http.MethodGet {
		s.executions = append(s.executions, x)
	}
	delay, dropResponse, onRun := s.delay, s.dropResponse, s.onRun
	s.mu.Unlock()
	if onRun != nil && r.Method != http.MethodGet {
		onRun(x)
	}
	if !sleep(r.Context(), delay) {
		return
	}
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	err = json.NewEncoder(w).Encode(struct {
		Worker string `json:"worker"`
		Number int    `json:"number"`
		Path   string `json:"path"`
	}{s.name, x.Number, r.URL.Path})
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.executions[x.Number-1].Answered = err == nil
	}
}
