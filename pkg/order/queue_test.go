package order_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/order"
)

var limits = order.Limits{Requests: 4, HeldBytes: 100}

// accept reads a request and adds it to the queue, which must allow it.
func accept(t *testing.T, q *order.Queue, request order.Request) (sequence int, start bool) {
	t.Helper()
	require.True(t, q.BeginRead())
	sequence, start, accepted := q.Accept(request)
	require.True(t, accepted)

	return sequence, start
}

func TestRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	q := order.NewQueue(limits)
	first, start := accept(t, q, order.Request{})
	require.True(t, start)
	second, start := accept(t, q, order.Request{})
	require.True(t, start, "the second runs beside the first")

	q.Complete(second, 1, false)
	_, _, found := q.NextResponse()
	require.False(t, found, "the second response waits for the first")
	q.Complete(first, 1, false)
	for _, expected := range []int{first, second} {
		sequence, last, found := q.NextResponse()
		require.True(t, found)
		require.False(t, last)
		require.Equal(t, expected, sequence)
		q.Sent()
	}
	require.True(t, q.MayRead())
}

func TestExclusiveRequestWaitsAndNothingIsReadBehindIt(t *testing.T) {
	q := order.NewQueue(limits)
	first, _ := accept(t, q, order.Request{})
	exclusive, start := accept(t, q, order.Request{Exclusive: true})
	require.False(t, start)
	require.False(t, q.MayRead())

	q.Complete(first, 1, false)
	q.NextResponse()
	next, start := q.Sent()
	require.True(t, start)
	require.Equal(t, exclusive, next)
	require.False(t, q.MayRead())
	q.Complete(exclusive, 1, false)
	q.NextResponse()
	q.Sent()
	require.True(t, q.MayRead())
}

func TestClosingResponseIsTheLastOneAndRunningRequestsAreAnswered(t *testing.T) {
	q := order.NewQueue(limits)
	refused, _ := accept(t, q, order.Request{})
	running, _ := accept(t, q, order.Request{})
	waiting, start := accept(t, q, order.Request{Exclusive: true})
	require.False(t, start)

	q.Complete(refused, 1, true)
	require.False(t, q.MayRead())
	_, last, _ := q.NextResponse()
	require.False(t, last, "a request behind it is running")
	_, start = q.Sent()
	require.False(t, start)
	q.Complete(running, 1, false)
	sequence, last, found := q.NextResponse()
	require.True(t, found)
	require.True(t, last)
	require.Equal(t, running, sequence)
	next, start := q.Sent()
	require.False(t, start, "request %d must not start as %d after the last response", waiting, next)
	require.True(t, q.Ended())
}

func TestNothingIsReadWhileTooManyBytesAreHeld(t *testing.T) {
	q := order.NewQueue(limits)
	accept(t, q, order.Request{})
	second, _ := accept(t, q, order.Request{})
	require.True(t, q.MayRead())
	q.Complete(second, limits.HeldBytes, false)
	require.False(t, q.MayRead())
}

// Guards against a response behind the one that closes: the request was being read when that one was sent.
func TestRequestBeingReadIsAbandonedByAClosingResponse(t *testing.T) {
	for name, end := range map[string]func(q *order.Queue, first int){
		"before the response is handed out": func(q *order.Queue, first int) { q.Complete(first, 1, true) },
		"while the response is sent":        func(q *order.Queue, first int) { q.Complete(first, 1, true); q.NextResponse() },
		"after the response":                func(q *order.Queue, first int) { q.Complete(first, 1, true); q.NextResponse(); q.Sent() },
		"after the client has hung up":      func(q *order.Queue, _ int) { q.HangUp() },
	} {
		t.Run(name, func(t *testing.T) {
			q := order.NewQueue(limits)
			first, _ := accept(t, q, order.Request{})
			require.True(t, q.BeginRead())
			require.False(t, q.BeginRead(), "one request is read at a time")
			end(q, first)
			require.False(t, q.Reading())
			_, start, accepted := q.Accept(order.Request{})
			require.False(t, start)
			require.False(t, accepted)
			require.False(t, q.BeginRead())
		})
	}
}

// model is a plain account of what one connection has been promised, against which the queue is checked.
type model struct {
	exclusive []bool
	started   map[int]bool
	completed map[int]bool
	sent      int
	// reading is true while a request is being read, and abandoned once it must not be accepted any more.
	reading, abandoned bool
	// sending is true while a response is being sent, and closes if that one closes the connection.
	sending, closes bool
	closing         bool
	hungUp          bool
	ended           bool
}

// running returns the requests that have started and have no response yet.
func (m *model) running() []int {
	var running []int
	for sequence := range m.exclusive {
		if m.started[sequence] && !m.completed[sequence] {
			running = append(running, sequence)
		}
	}

	return running
}

func (m *model) start(t *rapid.T, sequence int) {
	require.False(t, m.hungUp, "request %d starts after the client hung up", sequence)
	require.False(t, m.ended || m.closes, "request %d starts behind the response that closes", sequence)
	require.False(t, m.started[sequence], "request %d starts twice", sequence)
	if m.exclusive[sequence] {
		require.Equal(t, sequence, m.sent, "exclusive request %d starts beside another", sequence)
	}
	m.started[sequence] = true
}

func (m *model) beginRead(t *rapid.T, q *order.Queue) {
	require.True(t, q.BeginRead())
	require.False(t, m.closing || m.hungUp, "a request is read after the end")
	require.False(t, m.reading, "a request is read beside another")
	if last := len(m.exclusive) - 1; last >= 0 && m.exclusive[last] {
		require.Greater(t, m.sent, last, "a request is read behind an exclusive one")
	}
	require.Less(t, len(m.exclusive)-m.sent, limits.Requests)
	m.reading, m.abandoned = true, false
}

func (m *model) accept(t *rapid.T, q *order.Queue) {
	request := order.Request{Exclusive: rapid.Bool().Draw(t, "exclusive"), Last: rapid.IntRange(0, 9).Draw(t, "last") == 0}
	sequence, start, accepted := q.Accept(request)
	require.Equal(t, !m.abandoned, accepted, "a request is accepted unless the connection ended while it was read")
	m.reading = false
	if !accepted {
		require.False(t, start)

		return
	}
	require.Equal(t, len(m.exclusive), sequence)
	m.exclusive = append(m.exclusive, request.Exclusive)
	m.closing = m.closing || request.Last
	if start {
		m.start(t, sequence)
	}
}

func (m *model) complete(t *rapid.T, q *order.Queue, sequence int) {
	closes := rapid.IntRange(0, 9).Draw(t, "closes") == 0
	q.Complete(sequence, rapid.IntRange(0, 60).Draw(t, "bytes"), closes)
	m.completed[sequence] = true
	m.closing = m.closing || closes
	m.abandoned = m.abandoned || closes
}

// handOut takes the response that is due, if there is one, and reports whether there was.
func (m *model) handOut(t *rapid.T, q *order.Queue) bool {
	sequence, last, found := q.NextResponse()
	if !found {
		require.False(t, m.completed[m.sent] && !m.hungUp, "response %d is due and was not handed out", m.sent)

		return false
	}
	require.False(t, m.ended || m.hungUp, "a response is sent after the end")
	require.Equal(t, m.sent, sequence, "responses are sent in order")
	require.True(t, m.completed[sequence])
	if last {
		require.True(t, m.closing)
		require.False(t, q.Reading(), "a request is being read behind the response that closes")
		for later := sequence + 1; later < len(m.exclusive); later++ {
			require.False(t, m.started[later], "request %d has started and gets no response", later)
		}
	}
	m.sending, m.closes = true, last

	return true
}

// finish records that the response has been sent.
func (m *model) finish(t *rapid.T, q *order.Queue) {
	m.sent++
	m.sending, m.ended, m.closes = false, m.closes, false
	if next, start := q.Sent(); start {
		m.start(t, next)
	}
}

func (m *model) hangUp(q *order.Queue) {
	q.HangUp()
	m.hungUp, m.abandoned = true, true
}

// step takes one step that is possible at this time, if the drawn one is.
func (m *model) step(t *rapid.T, q *order.Queue) {
	running := m.running()
	switch step := rapid.IntRange(0, 24).Draw(t, "step"); {
	case step < 6 && q.MayRead():
		m.beginRead(t, q)
	case step < 10 && m.reading:
		m.accept(t, q)
	case step < 16 && len(running) > 0:
		m.complete(t, q, rapid.SampledFrom(running).Draw(t, "sequence"))
	case step < 20 && !m.sending:
		m.handOut(t, q)
	case step < 24 && m.sending:
		m.finish(t, q)
	case step == 24:
		m.hangUp(q)
	}
}

// Guards against a response behind the one that closes the connection, in any order of begin to read, accept, complete, send and hang up.
func TestQueueKeepsOrderUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := order.NewQueue(limits)
		m := &model{started: map[int]bool{}, completed: map[int]bool{}}
		for range rapid.IntRange(1, 90).Draw(t, "steps") {
			m.step(t, q)
		}
		if m.reading {
			m.accept(t, q)
		}
		for {
			running := m.running()
			switch {
			case m.sending:
				m.finish(t, q)
			case m.handOut(t, q):
			case len(running) > 0:
				m.complete(t, q, running[0])
			default:
				require.True(t, q.Ended() || q.MayRead(), "a connection without running requests reads or ends")

				return
			}
		}
	})
}
