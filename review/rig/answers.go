package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// Figures of the case largeAnswers.
const (
	answerBytes  = 18 << 20
	answerPieces = 36
	answerTime   = 1500 * time.Millisecond
	usualAtOnce  = 2
	burstAtOnce  = 3
	earlySignal  = 300 * time.Millisecond
)

// largeAnswers stops the node that has taken requests with large answers, a few at once, while the target of another machine sends them.
func largeAnswers(ctx context.Context, w *world, trouble bool) (int, error) {
	rules := []stand.Rule{
		{Name: "r-1", Host: hostName, Prefix: pathRead, Kind: kindIdempotent, Weights: map[string]float64{serviceOfSlow: 1}, Timeout: clientBudget, Attempts: 2, Priority: 1},
		{Name: "r-2", Host: hostArchive, Prefix: pathArchive, Kind: "non_idempotent", Weights: map[string]float64{serviceOfSlow: 1}, Timeout: clientBudget, Attempts: 2},
	}
	if err := w.putRoutes(rules...); err != nil {
		return 0, err
	}
	e := &exports{record: w.record, atOnce: usualAtOnce}
	if trouble {
		e.atOnce = burstAtOnce
	}
	for _, service := range []string{serviceOfSlow, serviceOfEntry} {
		if err := w.addMachines(ctx, 1, service, e.export); err != nil {
			return 0, err
		}
	}
	entry := w.machines[1]
	for round := range slowRounds {
		sleep(ctx, settleTime)
		var clients sync.WaitGroup
		for i := range e.atOnce {
			clients.Go(func() { e.request(ctx, entry, fmt.Sprintf("e-%d-%d", round, i)) })
		}
		sleep(ctx, earlySignal)
		err := entry.restart()
		clients.Wait()
		if err != nil {
			return 0, err
		}
	}
	if e.whole.Load()+e.lost.Load() == 0 {
		return 0, errNotRun
	}

	return int(e.lost.Load()), ctx.Err()
}

// exports are a target that answers with large bodies, and what its clients get.
type exports struct {
	record      *record
	atOnce      int
	whole, lost atomic.Int64
	// ends holds when the target stopped working on a request, by its ID.
	ends sync.Map
}

// export sends the answer in pieces as it is made.
func (e *exports) export(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	startedAt, sent := time.Now(), 0
	var err error
	for i := 1; i <= answerPieces && err == nil; i++ {
		var n int
		n, err = w.Write(make([]byte, answerBytes/answerPieces))
		sent += n
		time.Sleep(time.Until(startedAt.Add(answerTime * time.Duration(i) / answerPieces)))
	}
	e.record.write("target", "%s: sent %d bytes of %d in %.3f s, error %v", id, sent, answerBytes, time.Since(startedAt).Seconds(), err)
	e.ends.Store(id, err)
}

// request sends one request. It is lost if the system gives an answer of its own, or none, though there is time left and the target has not
// broken off.
func (e *exports) request(ctx context.Context, entry *machine, id string) {
	startedAt := time.Now()
	status, signed, bytes, err := e.exchange(ctx, entry, id)
	took := time.Since(startedAt)
	_, ended := e.ends.Load(id)
	e.record.write("answer", "%s: %d with %d bytes after %.3f s, receipt %t, error %v, target at work %t", id, status, bytes, took.Seconds(), signed, err, !ended)
	switch {
	case err == nil && signed && bytes == answerBytes:
		e.whole.Add(1)
	case status == http.StatusServiceUnavailable:
		e.record.write("answer", "%s: refused", id)
	case took > earlySignal && took < clientBudget-lossSlack && !ended:
		e.lost.Add(1)
		e.record.write("LOST", "%s: broken off %.3f s before its time budget, while its target is at work", id, (clientBudget - took).Seconds())
	}
}

func (e *exports) exchange(ctx context.Context, entry *machine, id string) (status int, signed bool, bytes int64, err error) {
	conn, err := dial(ctx, entry.ports.Outbound)
	if err != nil {
		return 0, false, 0, err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
		pathArchive, hostArchive, headerRequestID, id, headerDeadline, clientBudget.Milliseconds()); err != nil {
		return 0, false, 0, err
	}
	e.record.write("sent", "%s whole", id)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, largePiece), nil)
	if err != nil {
		return 0, false, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	bytes, err = io.Copy(io.Discard, response.Body)

	return response.StatusCode, response.Header.Get(headerSignature) != "", bytes, err
}
