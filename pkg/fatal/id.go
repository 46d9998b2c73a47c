package fatal

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cockroachdb/errors"
)

// ID identifies equal requests: those with the same method, host, path with query, credentials and body.
type ID [16]byte

// maxHashedBytes is how much of a body counts, beside its length.
const maxHashedBytes = 1 << 20

// Request holds what makes requests equal.
type Request struct {
	Method string
	Host   string
	URI    string
	// Credentials are those of the caller, empty if it states none.
	Credentials string
	Body        []byte
}

// ID returns the ID of the request.
func (r Request) ID() ID {
	digest := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URI, r.Credentials} {
		writePart(digest, len(part))
		_, _ = io.WriteString(digest, part)
	}
	writePart(digest, len(r.Body))
	_, _ = digest.Write(r.Body[:min(len(r.Body), maxHashedBytes)])

	return ID(digest.Sum(nil)[:len(ID{})])
}

// writePart writes the length of a part, so that bytes can't move from one part to the next.
func writePart(digest hash.Hash, length int) {
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
}

// ErrID means that a text is no ID.
var ErrID = errors.New("request ID cannot be read")

// ParseID returns the ID with the text. Errors wrap ErrID.
func ParseID(text string) (ID, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(ID{}) {
		return ID{}, errors.Wrapf(ErrID, "%.64q", text)
	}

	return ID(decoded), nil
}

// String returns the ID as hexadecimal digits.
func (i ID) String() string {
	return hex.EncodeToString(i[:])
}
