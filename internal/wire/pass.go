package wire

import "github.com/cloudwego/hertz/pkg/protocol"

// ForwardRequest fills an empty request with the one that goes on to the next hop: method, URI, body and all end-to-end headers unchanged.
//
// The body is shared with the request that came in.
func ForwardRequest(out, in *protocol.Request) {
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	in.Header.VisitAll(func(key, value []byte) {
		switch {
		case hopByHop[string(key)]:
		case string(key) == "Content-Type":
			out.Header.SetContentTypeBytes(value)
		case string(key) == "User-Agent":
			out.Header.SetUserAgentBytes(value)
		default:
			out.Header.AddArgBytes(key, value, protocol.ArgsHasValue)
		}
	})
	out.Header.SetHostBytes(in.Header.Host())
	out.SetBodyRaw(in.Body())
}

// keptApart are the headers of an answer for which the library has fields of their own.
var keptApart = map[string]bool{
	"Content-Encoding": true,
	"Content-Type":     true,
	"Date":             true,
	"Server":           true,
	"Set-Cookie":       true,
}

// ForwardResponse gives a whole answer on with all end-to-end headers unchanged, and its body, which the answer loses.
func ForwardResponse(out, answer *protocol.Response) {
	out.SetStatusCode(answer.StatusCode())
	answer.Header.VisitAll(func(key, value []byte) {
		switch {
		case hopByHop[string(key)], string(key) == HeaderReport:
		case keptApart[string(key)]:
			out.Header.SetCanonical(key, value)
		default:
			out.Header.AddArgBytes(key, value, protocol.ArgsHasValue)
		}
	})
	protocol.SwapResponseBody(out, answer)
	CopyContentLength(out, answer)
}
