package budget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// minCapacity is the initial capacity of a buffer in bytes.
const minCapacity = 4 << 10

// ErrFull means that other buffers take all bytes of the budget.
var ErrFull = errors.New("other bodies take all memory for them")

// Buffer collects a body. It takes memory as bytes arrive, and not by a length that was stated before. It is not safe for concurrent
// use.
type Buffer struct {
	shared   *Budget
	bytes    []byte
	reserved int
	// maxBytes is the size that the buffer never needs to exceed.
	maxBytes int
}

// NewBuffer returns an empty buffer for at most maxBytes that takes its memory from the budget, after that of the storage, which may be
// nil.
func NewBuffer(shared *Budget, storage []byte, maxBytes int) *Buffer {
	return &Buffer{shared: shared, bytes: storage[:0], maxBytes: maxBytes}
}

// Bytes returns what has been read.
func (b *Buffer) Bytes() []byte {
	return b.bytes
}

// Len returns the number of bytes that have been read.
func (b *Buffer) Len() int {
	return len(b.bytes)
}

// Reserved returns the number of bytes that the buffer takes of the budget. Its owner releases them.
func (b *Buffer) Reserved() int {
	return b.reserved
}

// ReadSome appends the next bytes of the reader, at most limit ones. The error is ErrFull or that of the reader.
func (b *Buffer) ReadSome(reader io.Reader, limit int) error {
	if err := b.grow(); err != nil {
		return err
	}
	n, err := reader.Read(b.bytes[len(b.bytes):min(cap(b.bytes), len(b.bytes)+limit)])
	b.bytes = b.bytes[:len(b.bytes)+n]

	return err
}

// ReadFull appends exactly the given number of bytes. The error is ErrFull or that of the reader, io.ErrUnexpectedEOF if it ends before.
func (b *Buffer) ReadFull(reader io.Reader, length int) error {
	for end := len(b.bytes) + length; len(b.bytes) < end; {
		switch err := b.ReadSome(reader, end-len(b.bytes)); {
		case err == nil:
		case errors.Is(err, io.EOF):
			if len(b.bytes) < end {
				return io.ErrUnexpectedEOF
			}
		default:
			return err
		}
	}

	return nil
}

// grow makes room for at least one more byte.
func (b *Buffer) grow() error {
	if len(b.bytes) < cap(b.bytes) {
		return nil
	}
	capacity := max(min(max(2*cap(b.bytes), minCapacity), b.maxBytes), len(b.bytes)+1)
	if !b.shared.Reserve(capacity - cap(b.bytes)) {
		return ErrFull
	}
	b.reserved += capacity - cap(b.bytes)
	grown := make([]byte, len(b.bytes), capacity)
	copy(grown, b.bytes)
	b.bytes = grown

	return nil
}
