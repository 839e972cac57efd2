package proxier

import (
	"errors"
	"io"
	"sync/atomic"
)

// freeHeldBytes is the number of bytes of a response that may be held back whatever the other requests hold. Plain responses and
// events of sound upstreams are shorter, most of them.
const freeHeldBytes = 4 << 10

var errHeldMemory = errors.New("the memory for unfinished responses is used up")

// holding is the part of Config.MaxHeldBytes that one response takes.
type holding struct {
	p     *Proxier
	bytes int64
}

// resize makes the holding one of n bytes. It returns false, and leaves the holding as it is, if there is no memory for that.
func (h *holding) resize(n int) bool {
	beyond := max(int64(n)-freeHeldBytes, 0)
	if beyond == h.bytes {
		return true
	}
	if beyond > h.bytes && !reserve(&h.p.heldBytes, beyond-h.bytes, h.p.cfg.MaxHeldBytes) {
		return false
	}
	if beyond < h.bytes {
		h.p.heldBytes.Add(beyond - h.bytes)
	}
	h.bytes = beyond
	return true
}

// reserve adds n bytes to a sum unless that would exceed the bound, so that a request that gets no memory does not take that of
// others even for a moment.
func reserve(sum *atomic.Int64, n, bound int64) bool {
	for {
		old := sum.Load()
		if n > bound-old {
			return false
		}
		if sum.CompareAndSwap(old, old+n) {
			return true
		}
	}
}

// release ends the holding.
func (h *holding) release() {
	h.resize(0)
}

// read reads up to most bytes of a response, for as long as there is memory to hold them back. It fails with errHeldMemory if
// there is none left; the bytes that it returns then are the first ones.
func (h *holding) read(r io.Reader, most int) ([]byte, error) {
	body := make([]byte, 0, min(1<<10, most))
	for len(body) < most {
		if len(body) == cap(body) {
			if !h.resize(2 * cap(body)) {
				return body, errHeldMemory
			}
			body = append(make([]byte, 0, min(2*cap(body), most)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}
