package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// Figures of the case behindClosing.
const (
	clientsPerMachine = 20
	clientDelay       = 8 * time.Millisecond
	clientBudget      = 5 * time.Second
	pipelined         = 6
	uploadBytes       = 20_000
	uploadPieces      = 20
	uploadPause       = 5 * time.Millisecond
	shortestWork      = 50 * time.Millisecond
	longestWork       = 200 * time.Millisecond
	quietTime         = 5 * time.Second
	settleTime        = 8 * time.Second
)

// behindClosing restarts the nodes in turn while clients send further idempotent requests before the first has been answered. A request behind
// a response that closes the connection counts as not read, so that no success may follow that response.
func behindClosing(ctx context.Context, w *world, trouble bool) (int, error) {
	rule := stand.Rule{
		Name: "r-1", Host: hostName, Prefix: pathRead, Kind: kindIdempotent, Weights: map[string]float64{"vitrina": 1}, Timeout: clientBudget, Attempts: 2, Priority: 1,
	}
	if err := w.putRoutes(rule); err != nil {
		return 0, err
	}
	if err := w.addMachines(ctx, 2, "vitrina", answerAfterWork); err != nil {
		return 0, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	c := &pipelining{record: w.record}
	var clients sync.WaitGroup
	for number, m := range w.machines {
		way, closeWay, err := newLink(ctx, m.ports.Outbound, clientDelay)
		if err != nil {
			return 0, err
		}
		defer closeWay()
		for i := range clientsPerMachine {
			client := &pipeliner{pipelining: c, machine: m, address: way.address(), name: fmt.Sprintf("c%d-%d", number, i)}
			clients.Go(func() { client.run(clientCtx) })
		}
	}
	err := restartInTurn(ctx, w, trouble)
	stopClients()
	clients.Wait()
	w.record.write("script", "%d requests, %d answers, %d of them closing, %d behind a closing one", c.sent.Load(), c.answers.Load(), c.closing.Load(), c.behind.Load())
	if err == nil && c.answers.Load() == 0 {
		err = errNotRun
	}

	return int(c.behind.Load()), err
}

// restartInTurn restarts the nodes one after the other, or only lets the same time pass.
func restartInTurn(ctx context.Context, w *world, trouble bool) error {
	sleep(ctx, quietTime)
	for _, m := range w.machines {
		if !trouble {
			sleep(ctx, settleTime+quietTime)

			continue
		}
		if err := m.restart(); err != nil {
			return err
		}
		sleep(ctx, settleTime)
	}

	return ctx.Err()
}

// answerAfterWork reads the request, works for a while and answers.
func answerAfterWork(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(shortestWork + rand.N(longestWork-shortestWork))
	fmt.Fprintf(w, "answer to %s", r.Header.Get(headerRequestID))
}

// pipelining counts what all clients send and receive.
type pipelining struct {
	record                         *record
	sent, answers, closing, behind atomic.Int64
}

// pipeliner is a client that sends further requests before the first has been answered, every other one with a body.
type pipeliner struct {
	*pipelining

	machine *machine
	address string
	name    string
	// number is that of the last request, and again the number of requests that count as not read and are sent again.
	number int
	again  int
}

// run uses one connection after the other while the machine is in, until the context ends.
func (c *pipeliner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.machine.in.Load() || !c.useConnection(ctx) {
			sleep(ctx, readinessTimeout)
		}
	}
}

// useConnection sends requests on a new connection and reads the answers, and reports whether it could be opened.
func (c *pipeliner) useConnection(ctx context.Context) bool {
	conn, err := dial(ctx, c.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	answered := &answers{client: c, reader: bufio.NewReader(conn), waiting: make(chan string, 2*pipelined), closed: make(chan struct{}), done: make(chan struct{})}
	go answered.read()
	// a client doesn't read for ever from a connection that the node is to close
	go func() {
		<-answered.closed
		sleep(ctx, readinessTimeout)
		_ = conn.Close()
	}()
	for i := 0; i < pipelined+c.again && answered.open(); i++ {
		c.number++
		id := fmt.Sprintf("%s-%d", c.name, c.number)
		c.sent.Add(1)
		answered.waiting <- id
		if c.send(conn, id, i%2 == 1, answered) != nil {
			break
		}
	}
	close(answered.waiting)
	c.again = 0
	<-answered.done
	c.again = min(answered.unread, pipelined)

	return true
}

// send sends a request, its body in pieces. It stops in the middle of the body once the connection has been closed by an answer.
func (c *pipeliner) send(conn io.Writer, id string, body bool, answered *answers) error {
	method, length := http.MethodGet, ""
	if body {
		method, length = http.MethodPut, fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
	}
	head := fmt.Sprintf("%s %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, pathRead, hostName, headerRequestID, id, headerDeadline, clientBudget.Milliseconds(), length)
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	c.record.write("sent", "%s %s", id, method)
	if !body {
		time.Sleep(rand.N(longestWork / uploadPieces))

		return nil
	}
	part := bytes.Repeat([]byte("x"), uploadBytes/uploadPieces)
	for i := 0; i < uploadPieces && answered.open(); i++ {
		if _, err := conn.Write(part); err != nil {
			return err
		}
		time.Sleep(uploadPause)
	}

	return nil
}

// answers reads the answers on one connection.
type answers struct {
	client *pipeliner
	reader *bufio.Reader
	// waiting holds the IDs of the requests in the order in which they were sent.
	waiting chan string
	// closed is closed by the answer that closes the connection or its end, done when nothing more is read.
	closed, done chan struct{}
	// unread is the number of requests that count as not read, once done is closed.
	unread int
}

// open reports whether no answer has closed the connection, and it has not ended.
func (a *answers) open() bool {
	select {
	case <-a.closed:
		return false
	default:
		return true
	}
}

// read reads answers until the connection ends, also behind the one that closes the connection.
func (a *answers) read() {
	defer close(a.done)
	closedBy := ""
	defer func() {
		if closedBy == "" {
			close(a.closed)
		}
	}()
	for id := range a.waiting {
		response, err := http.ReadResponse(a.reader, nil)
		if err != nil {
			a.client.record.write("end", "no answer to %s: %v", id, err)
			a.unread++

			break
		}
		if closedBy = a.take(id, response, closedBy); closedBy == id {
			close(a.closed)
		}
	}
	for range a.waiting {
		a.unread++
	}
}

// take records an answer, and returns the ID of the request whose answer has closed the connection, empty if none has.
func (a *answers) take(id string, response *http.Response, closedBy string) string {
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	client := a.client
	client.answers.Add(1)
	client.record.write("answer", "%s gets %d, close %t, body %q, error %v", id, response.StatusCode, response.Close, strings.TrimSpace(string(text)), err)
	switch {
	case closedBy == "" && response.Close:
		client.closing.Add(1)

		return id
	case closedBy != "" && response.StatusCode == http.StatusOK && err == nil && response.Header.Get(headerSignature) != "":
		client.behind.Add(1)
		client.record.write("MIXED", "success for %s behind the answer to %s, which closed the connection", response.Header.Get(headerRequestID), closedBy)
	}

	return closedBy
}
