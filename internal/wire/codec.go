package wire

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// ErrNoEnvelope is returned if a request from a peer has no envelope.
var ErrNoEnvelope = errors.New("request has no envelope")

// SetEnvelope sets the envelope header of a request. The envelope describes the attempt to the executing node.
func SetEnvelope(header *protocol.RequestHeader, envelope call.Envelope) error {
	value, err := json.Marshal(envelope)
	if err != nil {
		return errors.Wrap(err, "encode envelope")
	}
	SetField(header, HeaderEnvelope, string(value))

	return nil
}

// Envelope parses the envelope of a request. It returns ErrNoEnvelope if there is none.
func Envelope(header *protocol.RequestHeader) (call.Envelope, error) {
	var envelope call.Envelope
	value := header.Peek(HeaderEnvelope)
	if len(value) == 0 {
		return envelope, ErrNoEnvelope
	}
	if err := json.Unmarshal(value, &envelope); err != nil {
		return envelope, errors.Wrap(err, "decode envelope")
	}

	return envelope, nil
}

// SetFeedback sets the feedback header of a response. The feedback describes the result of the attempt to the entry node.
func SetFeedback(header *protocol.ResponseHeader, feedback call.Feedback) error {
	value, err := json.Marshal(feedback)
	if err != nil {
		return errors.Wrap(err, "encode feedback")
	}
	SetField(header, HeaderFeedback, string(value))

	return nil
}

// Feedback parses the feedback of a response. It returns false if the header is missing or malformed.
func Feedback(header *protocol.ResponseHeader) (call.Feedback, bool) {
	var feedback call.Feedback
	value := header.Peek(HeaderFeedback)
	if len(value) == 0 {
		return feedback, false
	}
	if err := json.Unmarshal(value, &feedback); err != nil {
		return feedback, false
	}

	return feedback, true
}

// Load parses the utilisation that a backend server reports. It returns false if the header is missing or malformed.
func Load(header *protocol.ResponseHeader) (float64, bool) {
	value := header.Peek(HeaderLoad)
	if len(value) == 0 {
		return 0, false
	}
	load, err := strconv.ParseFloat(string(value), 64)
	if err != nil || load < 0 {
		return 0, false
	}

	return load, true
}

// Draining reports whether a backend server has announced that it is draining.
func Draining(header *protocol.ResponseHeader) bool {
	return string(header.Peek(HeaderDraining)) == "true"
}

// Timeout parses the timeout that a caller sets, zero if the header is missing or malformed.
func Timeout(header *protocol.RequestHeader) time.Duration {
	timeout, err := time.ParseDuration(string(header.Peek(HeaderTimeout)))
	if err != nil || timeout < 0 {
		return 0
	}

	return timeout
}

// CopyRequestHeaders copies the headers for which Forwarded returns true.
func CopyRequestHeaders(to, from *protocol.RequestHeader) {
	from.VisitAll(func(key, value []byte) {
		if name := string(key); Forwarded(name) {
			to.Add(name, string(value))
		}
	})
}

// CopyContentLength copies the Content-Length of a response without a body, such as a response to HEAD.
func CopyContentLength(to, from *protocol.Response) {
	if length := from.Header.ContentLength(); from.SkipBody && length >= 0 {
		to.Header.SetContentLength(length)
	}
}

// CopyResponseHeaders copies the headers for which Forwarded returns true, except Server and Date.
func CopyResponseHeaders(to, from *protocol.ResponseHeader) {
	from.VisitAll(func(key, value []byte) {
		name := string(key)
		if name == "Content-Type" {
			to.SetContentTypeBytes(value)

			return
		}
		if Forwarded(name) && name != "Server" && name != "Date" {
			to.Add(name, string(value))
		}
	})
}
