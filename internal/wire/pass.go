package wire

import "github.com/cloudwego/hertz/pkg/protocol"

// Onward returns the request as it goes on to the next hop: method, URI, body and all end-to-end headers unchanged.
//
// The body is shared with the request that came in.
func Onward(in *protocol.Request) *protocol.Request {
	out := &protocol.Request{}
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	in.Header.VisitAll(func(key, value []byte) {
		if name := string(key); EndToEnd(name) {
			out.Header.Add(name, string(value))
		}
	})
	out.Header.SetHostBytes(in.Header.Host())
	out.SetBodyRaw(in.Body())

	return out
}

// PassBack gives a whole answer on with all end-to-end headers unchanged; both share the body from then on.
func PassBack(out, answer *protocol.Response) {
	out.SetStatusCode(answer.StatusCode())
	answer.Header.VisitAll(func(key, value []byte) {
		name := string(key)
		switch {
		case name == "Content-Type":
			out.Header.SetContentTypeBytes(value)
		case EndToEnd(name) && name != HeaderReport:
			out.Header.Add(name, string(value))
		}
	})
	out.SetBodyRaw(answer.Body())
	CopyStatedLength(out, answer)
}
