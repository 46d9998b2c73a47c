package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

const (
	// smuggleWait is how long the client reads what comes back on one connection.
	smuggleWait = 400 * time.Millisecond
	smuggleWork = 15 * time.Millisecond
	smuggleSize = 100
	// smuggleRounds is how often each kind of request is sent, in turn to each machine.
	smuggleRounds = 4
)

// framing is a way to state where the body of a request ends. In the lines, LEN stands for the length of the whole body, which begins with
// the prefix and goes on with the text of another request.
type framing struct {
	name, lines, prefix string
}

// framings are the ways that the case tries: RFC 9112, section 6.3, calls each of them an error that ends the connection, or the end of it.
var framings = []framing{
	{name: "two lengths that differ", lines: "Content-Length: LEN\r\nContent-Length: 0\r\n"},
	{name: "a length and chunks", lines: "Content-Length: LEN\r\nTransfer-Encoding: chunked\r\n", prefix: "0\r\n\r\n"},
	{name: "chunks and a length", lines: "Transfer-Encoding: chunked\r\nContent-Length: LEN\r\n", prefix: "0\r\n\r\n"},
	{name: "an unknown coding", lines: "Content-Length: LEN\r\nTransfer-Encoding: xchunked\r\n", prefix: "0\r\n\r\n"},
}

// smuggling sends requests whose bodies are the text of another request, and looks whether a target runs that one.
func smuggling(ctx context.Context, r *recorder, trouble bool) (bool, error) {
	rules := []stand.Rule{{
		Name: "rezervace", Host: host, Prefix: "/rezervace/", Kind: "non_idempotent", Weights: map[string]float64{bookingDesk: 1},
		Timeout: clientTime, Attempts: 2,
	}}
	f, err := newFleet(ctx, r, rules,
		machineSpec{service: bookingDesk, slots: 62, work: fixedWork(smuggleWork, smuggleSize)},
		machineSpec{service: showroom, slots: 54, work: fixedWork(smuggleWork, smuggleSize)})
	defer f.close()
	if err != nil {
		return false, err
	}
	smuggled := 0
	for round := range smuggleRounds {
		for i, kind := range framings {
			if !trouble {
				kind = framing{name: "one length", lines: "Content-Length: LEN\r\n", prefix: kind.prefix}
			}
			inner := fmt.Sprintf("inner-%d-%d", round, i)
			if err := smuggle(ctx, r, f.machines[round%len(f.machines)].node, kind, fmt.Sprintf("outer-%d-%d", round, i), inner); err != nil {
				return false, err
			}
			if f.ran(inner) {
				smuggled++
				r.note("a target ran %s, which was sent as a part of a body (%s)", inner, kind.name)
			}
		}
	}
	r.note("targets ran %d requests that no client sent as such; the rule allows none", smuggled)

	return smuggled == 0, nil
}

// smuggle sends one request and records what comes back.
func smuggle(ctx context.Context, r *recorder, n *node, kind framing, outer, inner string) error {
	conn, err := dial(ctx, n.options.Ports.Outbound)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	body := kind.prefix + head("POST", inner) + "Content-Length: 0\r\n\r\n"
	text := head("POST", outer) + strings.ReplaceAll(kind.lines, "LEN", fmt.Sprint(len(body))) + "\r\n" + body
	if _, err := fmt.Fprint(conn, text); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(smuggleWait))
	got, _ := io.ReadAll(conn)
	r.note("sent at %s: %q", n.name, text)
	r.note("got: %q", got)

	return nil
}

// head returns the request line and the fields that each request has.
func head(method, id string) string {
	return fmt.Sprintf("%s /rezervace/stan HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, host, headerRequestID, id, headerDeadline, clientTime.Milliseconds())
}
