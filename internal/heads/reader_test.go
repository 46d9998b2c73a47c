package heads_test

import (
	"io"
	"testing"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/heads"
)

// pieces is a connection whose bytes arrive in pieces, each when a read needs it.
type pieces struct {
	network.Reader

	buffer []byte
	left   [][]byte
}

func newPieces(text string, cuts ...int) *pieces {
	p := &pieces{}
	begin := 0
	for _, cut := range append(cuts, len(text)) {
		p.left = append(p.left, []byte(text[begin:cut]))
		begin = cut
	}

	return p
}

func (p *pieces) Peek(n int) ([]byte, error) {
	for len(p.buffer) < n {
		if len(p.left) == 0 {
			return p.buffer, io.EOF
		}
		p.buffer = append(p.buffer, p.left[0]...)
		p.left = p.left[1:]
	}

	return p.buffer[:n], nil
}

func (p *pieces) Skip(n int) error {
	if _, err := p.Peek(n); err != nil {
		return err
	}
	p.buffer = p.buffer[n:]

	return nil
}

func (p *pieces) Len() int {
	return len(p.buffer)
}

// rest returns what is left behind the head.
func (p *pieces) rest() string {
	for _, piece := range p.left {
		p.buffer = append(p.buffer, piece...)
	}

	return string(p.buffer)
}

func TestFoldedHeaderLinesAreJoined(t *testing.T) {
	tests := map[string]struct {
		head  string
		value string
	}{
		"none":                    {head: "X: a\r\nY: b\r\n\r\n", value: "a"},
		"one":                     {head: "X: a\r\n b\r\nY: c\r\n\r\n", value: "a   b"},
		"tabulator":               {head: "X: a\r\n\tb\r\n\r\n", value: "a   b"},
		"two":                     {head: "X: a\r\n b\r\n c\r\n\r\n", value: "a   b   c"},
		"line feeds only":         {head: "X: a\n b\n\n", value: "a  b"},
		"colon in a continuation": {head: "X: a\r\n b: c\r\n\r\n", value: "a   b: c"},
		"length in one":           {head: "X: a\r\n Content-Length: 2\r\nContent-Length: 5\r\n\r\n", value: "a   Content-Length: 2"},
	}
	const rest = " hello\r\n there\r\n\r\nGET / HTTP/1.1\r\nX: d\r\n e\r\n\r\n"
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, startLine := range []string{responseLine, requestLine} {
				text := startLine + test.head + rest
				for cut := range len(text) {
					conn := newPieces(text, cut)
					value, err := readX(startLine, conn)
					require.NoError(t, err, "cut at %d", cut)
					require.Equal(t, test.value, value, "cut at %d", cut)
					require.Equal(t, rest, conn.rest(), "cut at %d", cut)
				}
			}
		})
	}
}

const (
	requestLine  = "GET / HTTP/1.1\r\n"
	responseLine = "HTTP/1.1 200 OK\r\n"
)

// readX reads the header of a request or a response, and returns the value of its field X.
func readX(startLine string, conn *pieces) (string, error) {
	if startLine == requestLine {
		var header protocol.RequestHeader
		err := req.ReadHeader(&header, heads.NewReader(conn))

		return string(header.Peek("X")), err
	}
	var header protocol.ResponseHeader
	err := heads.ReadResponse(&header, conn)

	return string(header.Peek("X")), err
}

// Guards against an encoding that is lost: the parser keeps the last of several lines, though they are one list.
func TestLinesOfContentEncodingAreOneList(t *testing.T) {
	for head, expected := range map[string]string{
		"":                           "",
		"Content-Encoding: gzip\r\n": "gzip",
		"Content-Encoding: gzip\r\nContent-Encoding: br\r\n":    "gzip, br",
		"Content-Encoding: gzip\r\nContent-Encoding:\r\n":       "gzip",
		"CONTENT-ENCODING:\r\ncontent-encoding: gzip\r\n":       "gzip",
		"Content-Encoding: gzip,\r\n br\r\n":                    "gzip, br",
		"Content-Encoding:\r\nX: a\r\nContent-Encoding: \r\n":   "",
		"Content-Encodings: gzip\r\nA-Content-Encoding: br\r\n": "",
	} {
		var header protocol.ResponseHeader
		require.NoError(t, heads.ReadResponse(&header, newPieces(responseLine+head+"\r\n")))
		require.Equal(t, expected, string(header.ContentEncoding()), head)
	}
}

func TestContinuationOfTheStartLineIsRejected(t *testing.T) {
	var header protocol.RequestHeader
	require.Error(t, req.ReadHeader(&header, heads.NewReader(newPieces("GET / HTTP/1.1\r\n X: a\r\nHost: b\r\n\r\n"))))
}

// TestPiecesDoNotChangeAHead checks that a head is read the same, and the bytes behind it are left alone, however it arrives.
func TestPiecesDoNotChangeAHead(t *testing.T) {
	line := rapid.SampledFrom([]string{"X: a\r\n", " b\r\n", "\t c\r\n", "Y: d\n", " e: f\r\n", "Content-Length: 5\r\n", "Z:\r\n", " \r\n"})
	rapid.Check(t, func(t *rapid.T) {
		text := "HTTP/1.1 200 OK\r\nA: b\r\n"
		for _, next := range rapid.SliceOfN(line, 0, 8).Draw(t, "lines") {
			text += next
		}
		rest := rapid.SampledFrom([]string{"", " body", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n"}).Draw(t, "rest")
		text += "\r\n" + rest
		whole, cut := newPieces(text), newPieces(text, rapid.IntRange(0, len(text)).Draw(t, "cut"))
		var want, got protocol.ResponseHeader
		wantErr := heads.ReadResponse(&want, whole)
		gotErr := heads.ReadResponse(&got, cut)
		require.Equal(t, wantErr == nil, gotErr == nil)
		if wantErr != nil {
			return
		}
		require.Equal(t, string(want.Header()), string(got.Header()))
		require.Equal(t, rest, whole.rest())
		require.Equal(t, rest, cut.rest())
	})
}
