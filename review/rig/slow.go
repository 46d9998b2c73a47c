package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// Figures of the case slowReading.
const (
	slowBodyBytes  = 1 << 20
	slowRequests   = 3
	slowRounds     = 3
	readBefore     = 64 << 10
	readingPause   = 3500 * time.Millisecond
	signalDelay    = 500 * time.Millisecond
	lossSlack      = 200 * time.Millisecond
	serviceOfSlow  = "emparejar"
	serviceOfEntry = "vitrina"
)

// slowReading stops the node that has taken requests with long bodies, while the target of another machine works on them: it reads the
// beginning of each body, pauses, and reads on later.
func slowReading(ctx context.Context, w *world, trouble bool) (int, error) {
	rules := []stand.Rule{
		{Name: "r-1", Host: hostName, Prefix: pathRead, Kind: kindIdempotent, Weights: map[string]float64{serviceOfSlow: 1}, Timeout: clientBudget, Attempts: 2, Priority: 1},
		{Name: "r-2", Host: hostArchive, Prefix: pathArchive, Kind: "non_idempotent", Weights: map[string]float64{serviceOfSlow: 1}, Timeout: clientBudget, Attempts: 2},
	}
	if err := w.putRoutes(rules...); err != nil {
		return 0, err
	}
	s := &slowTargets{record: w.record, atOnce: !trouble}
	if err := w.addMachines(ctx, 1, serviceOfSlow, s.work); err != nil {
		return 0, err
	}
	if err := w.addMachines(ctx, 1, serviceOfEntry, s.work); err != nil {
		return 0, err
	}
	entry := w.machines[1]
	for round := range slowRounds {
		sleep(ctx, settleTime)
		if err := s.playRound(ctx, entry, round); err != nil {
			return 0, err
		}
	}
	if s.answered.Load() == 0 && s.lost.Load() == 0 {
		return 0, errNotRun
	}

	return int(s.lost.Load()), ctx.Err()
}

// slowTargets are targets that pause before they read the rest of a long body, or behind it if atOnce is set, and what their clients get.
type slowTargets struct {
	record         *record
	atOnce         bool
	answered, lost atomic.Int64
	atWork         sync.Map
}

// work reads a body with a pause, and answers.
func (s *slowTargets) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	if r.Method != http.MethodPost {
		return
	}
	s.atWork.Store(id, true)
	defer s.atWork.Delete(id)
	begin, err := io.CopyN(io.Discard, r.Body, readBefore)
	if !s.atOnce {
		time.Sleep(readingPause)
	}
	rest, restErr := io.Copy(io.Discard, r.Body)
	if s.atOnce {
		time.Sleep(readingPause)
	}
	s.record.write("target", "%s: read %d bytes of %d, errors %v, %v", id, begin+rest, slowBodyBytes, err, restErr)
	fmt.Fprintf(w, "%d bytes", begin+rest)
}

// playRound sends requests to the node, restarts it while the target works on them, and checks that all get the target's answer.
func (s *slowTargets) playRound(ctx context.Context, entry *machine, round int) error {
	var clients sync.WaitGroup
	for i := range slowRequests {
		id := fmt.Sprintf("s-%d-%d", round, i)
		clients.Go(func() { s.request(ctx, entry, id) })
	}
	sleep(ctx, signalDelay)
	err := entry.restart()
	clients.Wait()

	return err
}

// request sends one request on a new connection. It is lost if the system breaks it off: it ends without an answer, or with one that no target
// has made, while a target works on it and there is time left.
func (s *slowTargets) request(ctx context.Context, entry *machine, id string) {
	startedAt := time.Now()
	status, signed, err := s.exchange(ctx, entry, id)
	took := time.Since(startedAt)
	_, working := s.atWork.Load(id)
	s.record.write("answer", "%s: %d after %.3f s, receipt %t, error %v, target at work %t", id, status, took.Seconds(), signed, err, working)
	switch {
	case err == nil && signed:
		s.answered.Add(1)
	case status == http.StatusServiceUnavailable:
		s.record.write("answer", "%s: refused", id)
	case took < clientBudget-lossSlack && working:
		s.lost.Add(1)
		s.record.write("LOST", "%s: broken off %.3f s before its time budget, while its target is at work", id, (clientBudget - took).Seconds())
	}
}

func (s *slowTargets) exchange(ctx context.Context, entry *machine, id string) (status int, signed bool, err error) {
	conn, err := dial(ctx, entry.ports.Outbound)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		pathArchive, hostArchive, headerRequestID, id, headerDeadline, clientBudget.Milliseconds(), slowBodyBytes); err != nil {
		return 0, false, err
	}
	if _, err := conn.Write(make([]byte, slowBodyBytes)); err != nil {
		return 0, false, err
	}
	s.record.write("sent", "%s whole", id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)

	return response.StatusCode, response.Header.Get(headerSignature) != "", err
}
