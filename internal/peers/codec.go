package peers

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes is the largest message of a peer in bytes. It is far above that of a settings tree, the largest one.
const maxMessageBytes = 8 << 20

// errMessageTooLong is returned for a message above maxMessageBytes, such as an endless one of another program at a peer's address.
var errMessageTooLong = errors.New("message of the peer is longer than allowed")

// boundedReader fails when more bytes are read than allowed since the last reset.
type boundedReader struct {
	reader io.Reader
	mu     sync.Mutex
	left   int
}

func newBoundedReader(reader io.Reader) *boundedReader {
	return &boundedReader{reader: reader, left: maxMessageBytes}
}

// reset allows the next message.
func (b *boundedReader) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = maxMessageBytes
}

// Read reads from the connection.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	left := b.left
	b.mu.Unlock()
	if left <= 0 {
		return 0, errMessageTooLong
	}
	n, err := b.reader.Read(buffer[:min(len(buffer), left)])
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= n

	return n, err
}

// boundedConn is the connection of a client that reads bounded responses.
type boundedConn struct {
	net.Conn
	responses *boundedReader
}

// Read reads the next bytes of a response.
func (c boundedConn) Read(buffer []byte) (int, error) {
	return c.responses.Read(buffer)
}

// codec is net/rpc's gob codec for servers with bounded messages. It tells when a request has been read, so that the next one can be
// read while the method runs.
type codec struct {
	conn    io.ReadWriteCloser
	bounded *boundedReader
	decoder *gob.Decoder
	read    chan struct{}

	// mu guards the fields below; several methods may respond at a time.
	mu       sync.Mutex
	encoder  *gob.Encoder
	buffered *bufio.Writer
}

func newCodec(conn io.ReadWriteCloser) *codec {
	bounded, buffered := newBoundedReader(conn), bufio.NewWriter(conn)

	return &codec{
		conn:     conn,
		bounded:  bounded,
		decoder:  gob.NewDecoder(bounded),
		read:     make(chan struct{}, 1),
		encoder:  gob.NewEncoder(buffered),
		buffered: buffered,
	}
}

// ReadRequestHeader decodes the header of the next request.
func (c *codec) ReadRequestHeader(request *rpc.Request) error {
	c.bounded.reset()

	return c.decoder.Decode(request)
}

// ReadRequestBody decodes the arguments, or skips them if body is nil.
func (c *codec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	if err == nil {
		c.read <- struct{}{}
	}

	return err
}

// WriteResponse encodes a response.
func (c *codec) WriteResponse(response *rpc.Response, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffered.Flush()
	}
	if err != nil {
		// what was encoded is incomplete
		_ = c.conn.Close()
	}

	return errors.Wrap(err, "encode response")
}

// Close closes the connection.
func (c *codec) Close() error {
	return c.conn.Close()
}
