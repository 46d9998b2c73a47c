package wire_test

import (
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := call.Envelope{
			Op:          call.ID(rapid.String().Draw(t, "op")),
			Service:     rapid.StringMatching(`[a-z]{0,12}`).Draw(t, "service"),
			Caller:      rapid.String().Draw(t, "caller"),
			Attempt:     rapid.IntRange(0, 99).Draw(t, "attempt"),
			Credits:     rapid.IntRange(0, 99).Draw(t, "credits"),
			Rank:        call.Rank(rapid.Uint16().Draw(t, "rank")),
			Once:        rapid.Bool().Draw(t, "once"),
			Remaining:   time.Duration(rapid.Int64().Draw(t, "remaining")),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		}
		var header protocol.RequestHeader
		require.NoError(t, wire.SetEnvelope(&header, sent))
		got, err := wire.Envelope(&header)
		require.NoError(t, err)
		require.Equal(t, sent, got)
	})
}

func TestMissingEnvelopeIsAnError(t *testing.T) {
	_, err := wire.Envelope(&protocol.RequestHeader{})
	require.ErrorIs(t, err, wire.ErrNoEnvelope)
}

func TestRefusalSetsBothRetryAfterHeaders(t *testing.T) {
	var response protocol.Response
	refusal := call.NewRefusal(call.OutcomeNotRun, call.ReasonOverload).WithRetryAfter(1200 * time.Millisecond)
	wire.WriteRefusal(&response, refusal, "op")
	require.Equal(t, 503, response.StatusCode())
	require.Equal(t, "2", string(response.Header.Peek(wire.HeaderRetryAfter)))
	require.Equal(t, "1.2s", string(response.Header.Peek(wire.HeaderRetryAfterDuration)))
	require.Contains(t, string(response.Body()), `"reason":"overload"`)
}

func FuzzEnvelope(f *testing.F) {
	f.Add(`{"op":"a","attempt":1}`)
	f.Add(`{"op":3}`)
	f.Add("")
	f.Fuzz(func(t *testing.T, value string) {
		var header protocol.RequestHeader
		header.Set(wire.HeaderEnvelope, value)
		envelope, err := wire.Envelope(&header)
		if err != nil {
			return
		}
		require.NoError(t, wire.SetEnvelope(&header, envelope))
	})
}
