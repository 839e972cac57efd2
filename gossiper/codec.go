package gossiper

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/rpc"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"clementineramp/subscriber"
)

const (
	lengthPrefixBytes = 4
	// maxRequestBytes is the size limit of a frame that a server reads.
	maxRequestBytes = 128 << 10
	// maxResponseBytes is the size limit of a frame that a client reads; the largest body is a value of the platform.
	maxResponseBytes = subscriber.MaxValueBytes + 1024
	maxNestedLevels  = 8
)

var (
	encMode = mustMode(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		MaxNestedLevels: maxNestedLevels, MaxArrayElements: maxEntries, MaxMapPairs: maxEntries,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		NaN: cbor.NaNDecodeForbidden, Inf: cbor.InfDecodeForbidden,
	}.DecMode())
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		// The options are constants, so an error is a programming error.
		panic(err)
	}
	return mode
}

// header is the frame before each body.
type header struct {
	Method string `json:"m,omitempty"`
	Seq    uint64 `json:"q"`
	Error  string `json:"e,omitempty"`
}

// framedConn reads and writes messages with a length prefix. The gob codec of net/rpc is not used, since it trusts the
// length that a peer announces and allocates up to 1 GB for it.
type framedConn struct {
	conn  io.ReadWriteCloser
	r     *bufio.Reader
	limit int
	// mu serialises writes; net/rpc's server writes from several goroutines.
	mu sync.Mutex
}

func newFramedConn(c io.ReadWriteCloser, limit int) *framedConn {
	return &framedConn{conn: c, r: bufio.NewReader(c), limit: limit}
}

func (f *framedConn) readFrame() ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(f.r, prefix[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(prefix[:]))
	if n > f.limit {
		return nil, fmt.Errorf("frame of %d bytes, want at most %d", n, f.limit)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(f.r, data); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}

func (f *framedConn) readHeader(h *header) error {
	data, err := f.readFrame()
	if err != nil {
		return err
	}
	return decMode.Unmarshal(data, h)
}

// readBody decodes and checks a body; net/rpc passes nil to skip it.
func (f *framedConn) readBody(body any) error {
	data, err := f.readFrame()
	if err != nil || body == nil {
		return err
	}
	return decodeMessage(data, body)
}

func decodeMessage(data []byte, body any) error {
	if err := decMode.Unmarshal(data, body); err != nil {
		return err
	}
	if m, ok := body.(message); ok {
		return m.check()
	}
	return nil
}

// writeMessage sends header and body in one write, so that they share a packet if they fit.
func (f *framedConn) writeMessage(h header, body any) error {
	out := make([]byte, 0, 512)
	for _, v := range []any{h, body} {
		data, err := encMode.Marshal(v)
		if err != nil {
			return err
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.conn.Write(out)
	return err
}

type serverCodec struct{ *framedConn }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error {
	return c.readBody(body)
}

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = struct{}{}
	}
	return c.writeMessage(header{Seq: r.Seq, Error: r.Error}, body)
}

func (c serverCodec) Close() error {
	return c.conn.Close()
}

type clientCodec struct{ *framedConn }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeMessage(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.Seq, r.Error = h.Seq, h.Error
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error {
	return c.readBody(body)
}

func (c clientCodec) Close() error {
	return c.conn.Close()
}

// EncodeState encodes a state as CBOR, as in the body of an exchange.
func EncodeState(s State) ([]byte, error) {
	return encMode.Marshal(s)
}

// DecodeState decodes the body of an exchange. It returns an error if a field is missing or out of range.
func DecodeState(data []byte) (State, error) {
	var s State
	err := decodeMessage(data, &s)
	return s, err
}
