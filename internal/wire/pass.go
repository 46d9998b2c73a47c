package wire

import "github.com/cloudwego/hertz/pkg/protocol"

// ForwardRequest fills an empty outgoing request from the incoming one: method, URI, body and all end-to-end headers unchanged,
// except the hop header, which is not accepted from callers.
//
// The two requests share the body.
func ForwardRequest(out, in *protocol.Request) {
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	in.Header.VisitAll(func(key, value []byte) {
		switch {
		case hopByHop[string(key)], string(key) == HeaderHop:
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

// dedicatedHeaders are the response headers that hertz stores in fields of their own.
var dedicatedHeaders = map[string]bool{
	"Content-Encoding": true,
	"Content-Type":     true,
	"Date":             true,
	"Server":           true,
	"Set-Cookie":       true,
}

// ForwardResponse copies the status and all end-to-end headers of a buffered response, and moves its body to out.
func ForwardResponse(out, response *protocol.Response) {
	out.SetStatusCode(response.StatusCode())
	response.Header.VisitAll(func(key, value []byte) {
		switch {
		case hopByHop[string(key)], string(key) == HeaderReport:
		case dedicatedHeaders[string(key)]:
			out.Header.SetCanonical(key, value) //nolint:forbidigo // these have a field of their own, or a line for each cookie
		default:
			out.Header.AddArgBytes(key, value, protocol.ArgsHasValue)
		}
	})
	protocol.SwapResponseBody(out, response)
	CopyContentLength(out, response)
}
