package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// Figures of the case statedCaller.
const (
	headerCaller   = "Pistachiotack-Caller-Service"
	statedRequests = 20
	statedService  = "punto"
)

// statedCaller sends requests that state the service of their caller themselves, in one line or in two. The targets have to be told the service
// of the machine where the requests began.
func statedCaller(ctx context.Context, w *world, trouble bool) (int, error) {
	rule := stand.Rule{
		Name: "r-1", Host: hostName, Prefix: pathRead, Kind: kindIdempotent, Weights: map[string]float64{serviceOfSlow: 1}, Timeout: clientBudget, Attempts: 2, Priority: 1,
	}
	if err := w.putRoutes(rule); err != nil {
		return 0, err
	}
	var wrong, ran atomic.Int64
	work := func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get(headerRequestID), "stated-") {
			return
		}
		// lines with the same name are one list (RFC 9110, section 5.2)
		told := strings.Join(r.Header.Values(headerCaller), ", ")
		w.record.write("target", "%s comes from %q", r.Header.Get(headerRequestID), told)
		ran.Add(1)
		if told != serviceOfEntry {
			wrong.Add(1)
			w.record.write("UNASKED", "%s began at a machine of %s", r.Header.Get(headerRequestID), serviceOfEntry)
		}
		fmt.Fprint(rw, "done")
	}
	for _, service := range []string{serviceOfSlow, serviceOfEntry} {
		if err := w.addMachines(ctx, 1, service, work); err != nil {
			return 0, err
		}
	}
	lines := 1
	if trouble {
		lines = 2
	}
	for i := range statedRequests {
		status, err := stateCaller(ctx, w.machines[1], fmt.Sprintf("stated-%d", i), lines)
		w.record.write("answer", "stated-%d: %d, %v", i, status, err)
	}
	if ran.Load() == 0 {
		return 0, errNotRun
	}

	return int(wrong.Load()), nil
}

// stateCaller sends a request that states another caller in a number of lines, and returns the status of the answer.
func stateCaller(ctx context.Context, entry *machine, id string, lines int) (status int, err error) {
	conn, err := dial(ctx, entry.ports.Outbound)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(clientBudget)); err != nil {
		return 0, err
	}
	stated := strings.Repeat(headerCaller+": "+statedService+"\r\n", lines)
	if _, err := fmt.Fprintf(conn, "GET %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sConnection: close\r\n\r\n",
		pathRead, hostName, headerRequestID, id, headerDeadline, clientBudget.Milliseconds(), stated); err != nil {
		return 0, err
	}
	entry.world.record.write("sent", "%s from %s, which states %q in %d lines", id, entry.name, statedService, lines)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}

	return response.StatusCode, response.Body.Close()
}
