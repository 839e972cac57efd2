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
	// At is the time at which the order ran, and Answered says that its answer was written.
	At       time.Time `json:"at"`
	Answered bool      `json:"answered"`
}

// Service is a stand-in for a plain service that runs whatever it receives and has no memory of keys.
type Service struct {
	name   string
	server *Server

	mu           sync.Mutex
	delay        time.Duration
	dropResponse bool
	onRun        func(Execution)
	executions   []Execution
}

// StartService starts a stand-in service on loopback.
func StartService(name, address string) (*Service, error) {
	return StartServiceOn(nil, name, address)
}

// StartServiceOn starts a stand-in service on the network of a listen function; nil means the system's network.
func StartServiceOn(listen ListenFunc, name, address string) (*Service, error) {
	s := &Service{name: name}
	srv, err := StartOn(listen, address, http.HandlerFunc(s.serve))
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

// SetDropResponse makes the service run each order and then break the connection without an answer.
func (s *Service) SetDropResponse(b bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponse = b
}

// SetOnRun makes the service call f when it runs an order, before it answers.
func (s *Service) SetOnRun(f func(Execution)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRun = f
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
