package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// Figures of the case largeBodies.
const (
	largeUpload       = 60 << 20
	largeDownload     = 40 << 20
	usualShare        = 20
	transfersOfAKind  = 2
	transferPause     = 100 * time.Millisecond
	largePiece        = 256 << 10
	memoryLookPeriod  = 20 * time.Millisecond
	restartDelay      = 300 * time.Millisecond
	largeTime         = 60 * time.Second
	killsOfAMachine   = 3
	machinesWithKills = 2
	pathArchive       = "/cufi502/"
	hostArchive       = "jepu9.example"
)

// largeBodies has some clients of each machine send and fetch archives, one after the other, either of the largest size or of a small part of it.
// The platform ends a process that exceeds its memory.
func largeBodies(ctx context.Context, w *world, trouble bool) (int, error) {
	c := &archiving{record: w.record, upBytes: largeUpload, downBytes: largeDownload}
	if !trouble {
		c.upBytes, c.downBytes = largeUpload/usualShare, largeDownload/usualShare
	}
	if err := w.putRoutes(archiveRules("vitrina", hostName, pathRead), archiveRules("catalogo", hostArchive, pathArchive)); err != nil {
		return 0, err
	}
	for _, service := range []string{"vitrina", "catalogo"} {
		if err := w.addMachines(ctx, 1, service, c.moveArchive); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, largeTime)
	defer cancel()
	watches := make([]*memoryWatch, len(w.machines))
	var loops sync.WaitGroup
	for i, m := range w.machines {
		watches[i] = &memoryWatch{machine: m}
		loops.Go(func() { watches[i].run(ctx) })
		for range transfersOfAKind {
			loops.Go(func() { c.repeat(ctx, m, c.upload) })
			loops.Go(func() { c.repeat(ctx, m, c.download) })
		}
	}
	loops.Wait()
	killed := 0
	for _, watch := range watches {
		w.record.write("script", "%s: peak %d MB of %d, ended for it %d times", watch.machine.name, watch.peak, memoryMB, watch.kills)
		if watch.kills >= killsOfAMachine {
			killed++
		}
	}
	w.record.write("script", "%d transfers complete, %d refused, %d failed", c.complete.Load(), c.refused.Load(), c.failed.Load())
	if c.complete.Load() == 0 {
		return 0, errNotRun
	}

	return max(killed-machinesWithKills+1, 0), nil
}

func archiveRules(service, host, path string) stand.Rule {
	return stand.Rule{
		Name: "r-" + service, Host: host, Prefix: path, Kind: kindIdempotent, Weights: map[string]float64{service: 1}, Timeout: clientBudget, Attempts: 2, Priority: 1,
	}
}

// moveArchive is what a target does: it reads the archive of a PUT, or answers with one.
func (c *archiving) moveArchive(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		if bytes, err := io.Copy(io.Discard, r.Body); err == nil {
			fmt.Fprintf(w, "%d bytes", bytes)
		}

		return
	}
	if !strings.HasSuffix(r.URL.Path, "/archive") {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(c.downBytes))
	// errors of the connection show at the reader
	_, _ = w.Write(make([]byte, c.downBytes))
}

// archiving counts the transfers of all clients.
type archiving struct {
	record                    *record
	upBytes, downBytes        int
	number                    atomic.Int64
	complete, refused, failed atomic.Int64
}

// repeat makes one transfer after the other at the machine until the context ends.
func (c *archiving) repeat(ctx context.Context, m *machine, transfer func(ctx context.Context, m *machine, number int64)) {
	for ; ctx.Err() == nil; sleep(ctx, transferPause) {
		if m.in.Load() {
			transfer(ctx, m, c.number.Add(1))
		}
	}
}

func (c *archiving) upload(ctx context.Context, m *machine, number int64) {
	c.transfer(ctx, m, number, http.MethodPut, fmt.Sprintf("Content-Length: %d\r\n", c.upBytes), func(conn io.Writer) error {
		_, err := conn.Write(make([]byte, c.upBytes))

		return err
	})
}

func (c *archiving) download(ctx context.Context, m *machine, number int64) {
	c.transfer(ctx, m, number, http.MethodGet, "", func(io.Writer) error { return nil })
}

// transfer makes one request to the service of the other machine on a new connection, and reads the answer.
func (c *archiving) transfer(ctx context.Context, m *machine, number int64, method, length string, sendBody func(conn io.Writer) error) {
	host, path := hostName, pathRead
	if m.service == "vitrina" {
		host, path = hostArchive, pathArchive
	}
	status, err := c.exchange(ctx, m, fmt.Sprintf("%s %sarchive HTTP/1.1\r\nHost: %s\r\n%s: t-%d\r\n%s: %d\r\nConnection: close\r\n%s\r\n",
		method, path, host, headerRequestID, number, headerDeadline, clientBudget.Milliseconds(), length), sendBody)
	c.record.write("answer", "t-%d (%s at %s): %d, %v", number, method, m.name, status, err)
	switch {
	case err == nil && status == http.StatusOK:
		c.complete.Add(1)
	case status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

func (c *archiving) exchange(ctx context.Context, m *machine, head string, sendBody func(conn io.Writer) error) (status int, err error) {
	conn, err := dial(ctx, m.ports.Outbound)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(clientBudget)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	// a node may answer before it has read the body
	sendErr := sendBody(conn)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, largePiece), nil)
	if err != nil {
		if sendErr != nil {
			err = sendErr
		}

		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)

	return response.StatusCode, err
}

// memoryWatch ends the node process of a machine when it exceeds its memory, and starts it again, as the platform does.
type memoryWatch struct {
	machine     *machine
	peak, kills int
}

func (w *memoryWatch) run(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, memoryLookPeriod) {
		used := w.machine.memoryMB()
		w.peak = max(w.peak, used)
		if used <= memoryMB {
			continue
		}
		w.kills++
		w.machine.world.record.write("platform", "%s uses %d MB of %d and is killed", w.machine.name, used, memoryMB)
		w.machine.signal(syscall.SIGKILL)
		w.machine.wait(startLimit)
		sleep(ctx, restartDelay)
		if err := w.machine.start(); err != nil {
			w.machine.world.record.write("script", "%v", err)

			return
		}
	}
}

// memoryMB returns the memory in MB that the node process takes for itself, without the pages of its program file.
func (m *machine) memoryMB() int {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])

			return kilobytes >> 10
		}
	}

	return 0
}
