package main

import (
	"bufio"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerConfig holds the behaviour of a worker.
type workerConfig struct {
	listen, id string
	slots      int
	// deadly is the ID of the part of a prompt that crashes the worker when it begins to write an answer.
	deadly string
	// afterEvent makes it crash after the first event of the answer has been written, instead of before it.
	afterEvent bool
	// think is the time from the receipt of a request to the begin of its answer.
	think time.Duration
	// pieces are the number of pieces of an answer, and pause the time between two of them.
	pieces int
	pause  time.Duration
	// unframed answers have neither a length nor chunks. The worker begins them before it has read the body.
	unframed bool
}

// workerProcess is a stand-in of a worker, which serves one request at a time on a connection.
type workerProcess struct {
	cfg     workerConfig
	running atomic.Int64
	mu      sync.Mutex
}

func runWorker(args []string) error {
	var cfg workerConfig
	fs := flag.NewFlagSet("worker", flag.ExitOnError)
	fs.StringVar(&cfg.listen, "listen", "", "address")
	fs.StringVar(&cfg.id, "id", "", "identifier")
	fs.IntVar(&cfg.slots, "slots", 6, "slots")
	fs.StringVar(&cfg.deadly, "deadly", "", "part of a prompt that crashes the worker")
	fs.BoolVar(&cfg.afterEvent, "after-event", false, "crash after the first event of the answer")
	fs.DurationVar(&cfg.think, "think", 60*time.Millisecond, "time to the begin of an answer")
	fs.IntVar(&cfg.pieces, "pieces", 10, "pieces of an answer")
	fs.DurationVar(&cfg.pause, "pause", 30*time.Millisecond, "time between two pieces")
	fs.BoolVar(&cfg.unframed, "unframed", false, "answers without length or chunks, begun before the body has been read")
	if err := fs.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.listen)
	if err != nil {
		return err
	}
	w := &workerProcess{cfg: cfg}
	w.print("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

// print writes a line for the record; it is written at once, as the process may crash.
func (w *workerProcess) print(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = os.Stdout.WriteString(fmt.Sprintf(format, args...) + "\n")
}

func (w *workerProcess) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !w.answer(c, req) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection is kept.
func (w *workerProcess) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != w.cfg.id {
		_, _ = io.Copy(io.Discard, req.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.cfg.id)
		return err == nil
	}
	if !w.cfg.unframed {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	if running > int64(w.cfg.slots) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	w.print("run %s", id)
	time.Sleep(w.cfg.think)
	deadly := w.cfg.deadly != "" && hasPart(req.Header.Get("Prompt-Prefix-Hash"), w.cfg.deadly)
	crash := func() {
		w.print("deadly %s", id)
		os.Exit(3)
	}
	if deadly && !w.cfg.afterEvent {
		crash()
	}
	stream := strings.HasPrefix(req.URL.Path, "/stream/")
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: 3e1b.07." + id +
		fmt.Sprintf("\r\nInstance-Load: %d,0,%d\r\n", w.running.Load(), w.cfg.slots)
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	} else {
		head += "Content-Type: application/octet-stream\r\n"
	}
	if w.cfg.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := 1; n <= w.cfg.pieces; n++ {
		p := piece(id, n, stream)
		if !w.cfg.unframed {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if _, err := io.WriteString(c, p); err != nil {
			w.print("left %s after %d pieces", id, n-1)
			return false
		}
		if deadly {
			crash()
		}
		time.Sleep(w.cfg.pause)
	}
	if w.cfg.unframed {
		// The rest of the body is read before the connection is closed, which would be a reset otherwise.
		_, err := io.Copy(io.Discard, req.Body)
		w.print("end %s %v", id, err == nil)
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	w.print("end %s %v", id, err == nil)
	return err == nil
}

func hasPart(prompt, part string) bool {
	for field := range strings.SplitSeq(prompt, ",") {
		if name, _, _ := strings.Cut(field, ":"); name == part {
			return true
		}
	}
	return false
}

// piece returns the n-th piece of the answer to a request: an event of a stream, or 200 bytes.
func piece(id string, n int, stream bool) string {
	sum := fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%s/%d", id, n)))
	if stream {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", n, sum)
	}
	return strings.Repeat(sum, 3) + "\n"
}

// wholeBody returns the answer to a request.
func wholeBody(id string, pieces int, stream bool) string {
	var b strings.Builder
	for n := 1; n <= pieces; n++ {
		b.WriteString(piece(id, n, stream))
	}
	return b.String()
}
