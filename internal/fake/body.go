package fake

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

const wordBytes = 8

// Seed returns what the answer's bytes are derived from, so that no two requests share an answer.
func Seed(method, uri string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + " " + uri + "\n")
	_, _ = digest.Write(body)

	return digest.Sum64()
}

// Body returns the whole answer for that seed.
func Body(seed uint64, size int64) []byte {
	body := make([]byte, size)
	fill(body, seed, 0)

	return body
}

// Verify reads an answer from offset on, and reports its length and whether every byte is right.
func Verify(r io.Reader, seed uint64, offset int64) (length int64, right bool, err error) {
	got := make([]byte, verifyChunk)
	want := make([]byte, verifyChunk)
	right = true
	for {
		n, err := r.Read(got)
		fill(want[:n], seed, offset+length)
		right = right && bytes.Equal(got[:n], want[:n])
		length += int64(n)
		if err == io.EOF {
			return length, right, nil
		}
		if err != nil {
			return length, right, err
		}
	}
}

const verifyChunk = 32 << 10

// fill writes the bytes that stand at offset in the endless sequence of the seed.
func fill(into []byte, seed uint64, offset int64) {
	var word [wordBytes]byte
	for len(into) > 0 {
		binary.LittleEndian.PutUint64(word[:], mix(seed+uint64(offset/wordBytes)))
		n := copy(into, word[offset%wordBytes:])
		into = into[n:]
		offset += int64(n)
	}
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0x94d049bb133111eb

	return x ^ x>>31
}
