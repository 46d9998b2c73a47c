package wire_test

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/wire"
)

// Guards against lines of a foreign message that stay beside the one that the node sets.
func TestSetFieldLeavesOneLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{wire.HeaderHop, "hop", "X-Other", "pistachiotack-hop", "Content-Type", "Retry-After"})
		var request protocol.RequestHeader
		var response protocol.ResponseHeader
		others := 0
		for _, name := range rapid.SliceOfN(names, 0, 8).Draw(t, "names") {
			request.Add(name, "foreign")
			response.Add(name, "foreign")
			if name == "X-Other" {
				others++
			}
		}
		set := names.Filter(func(name string) bool { return name != "X-Other" }).Draw(t, "set")
		wire.SetField(&request, set, "own")
		wire.SetField(&response, set, "own")
		require.Equal(t, []string{"own"}, request.GetAll(set))
		require.Equal(t, []string{"own"}, response.GetAll(set))
		require.Len(t, request.GetAll("X-Other"), others, "other fields keep their lines")
		require.Len(t, response.GetAll("X-Other"), others)
	})
}

// Guards against a client that chooses the hop of its request: the executing node takes the first line, and further ones reach it.
func TestForwardedRequestHasTheHopOfTheNodeOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in, out protocol.Request
		in.SetRequestURI("/read/1")
		for range rapid.IntRange(0, 3).Draw(t, "lines") {
			in.Header.Add(wire.HeaderHop, "foreign")
		}
		wire.ForwardRequest(&out, &in)
		require.Empty(t, out.Header.GetAll(wire.HeaderHop))
		wire.SetHop(&out.Header, exampleHop)
		require.Len(t, out.Header.GetAll(wire.HeaderHop), 1)
	})
}

func TestSingleValue(t *testing.T) {
	for name, test := range map[string]struct {
		lines []string
		value string
		err   error
	}{
		"none":             {},
		"one":              {lines: []string{"a"}, value: "a"},
		"equal lines":      {lines: []string{"a", "a", "a"}, value: "a"},
		"different lines":  {lines: []string{"a", "a", "b"}, err: wire.ErrAmbiguousField},
		"first is empty":   {lines: []string{"", "b"}, err: wire.ErrAmbiguousField},
		"in another case":  {lines: []string{"a", "A"}, err: wire.ErrAmbiguousField},
		"list in one line": {lines: []string{"a, b"}, value: "a, b"},
	} {
		t.Run(name, func(t *testing.T) {
			var header protocol.RequestHeader
			for _, line := range test.lines {
				header.Add(wire.HeaderIdempotencyKey, line)
			}
			value, err := wire.SingleValue(&header, wire.HeaderIdempotencyKey)
			require.ErrorIs(t, err, test.err)
			require.Equal(t, test.value, value)
		})
	}
}
