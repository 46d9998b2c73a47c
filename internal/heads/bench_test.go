package heads_test

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/pistachiotack/pistachiotack/internal/heads"
)

const benchmarkHead = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 10:00:00 GMT\r\nContent-Type: application/octet-stream\r\nContent-Length: 600\r\n" +
	"X-Request-Id: 9c41d07be2a35f68\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8\r\nKeep-Alive: timeout=5\r\n\r\n"

// BenchmarkReadResponse compares reading a head, which checks it, with hertz's parser alone.
func BenchmarkReadResponse(b *testing.B) {
	for name, read := range map[string]func(*protocol.ResponseHeader, *pieces) error{
		"parser": func(header *protocol.ResponseHeader, conn *pieces) error {
			return resp.ReadHeader(header, heads.NewReader(conn))
		},
		"checked": func(header *protocol.ResponseHeader, conn *pieces) error { return heads.ReadResponse(header, conn) },
	} {
		b.Run(name, func(b *testing.B) {
			head := []byte(benchmarkHead)
			var header protocol.ResponseHeader
			conn := &pieces{}
			b.ReportAllocs()
			for b.Loop() {
				conn.buffer = append(conn.buffer[:0], head...)
				if err := read(&header, conn); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
