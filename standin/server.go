package standin

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ListenFunc opens a listener, as net.Listen does.
type ListenFunc func(network, address string) (net.Listener, error)

// Server serves a handler on loopback and can be killed and restarted at the same address.
type Server struct {
	handler http.Handler
	listen  ListenFunc

	mu      sync.Mutex
	address string
	http    *http.Server
}

// Start serves a handler on the system's network; an empty address means a free port on loopback.
func Start(address string, h http.Handler) (*Server, error) {
	return StartOn(nil, address, h)
}

// StartOn is Start with a listen function; nil means net.Listen.
func StartOn(listen ListenFunc, address string, h http.Handler) (*Server, error) {
	if listen == nil {
		listen = net.Listen
	}
	s := &Server{handler: h, listen: listen, address: address}
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	return s, s.Restart()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill closes the listener and every connection at once, as a process crash does.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
}

// Restart listens again at the same address after Kill; it does nothing if the server is running.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	l, err := s.listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
	s.http = srv
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = srv.Close()
		}
	}()
	return nil
}
