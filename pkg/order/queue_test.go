package order_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/order"
)

var limits = order.Limits{Requests: 4, HeldBytes: 100}

func TestRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	q := order.NewQueue(limits)
	first, start := q.Accept(order.Request{})
	require.True(t, start)
	second, start := q.Accept(order.Request{})
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
	first, _ := q.Accept(order.Request{})
	exclusive, start := q.Accept(order.Request{Exclusive: true})
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
	refused, _ := q.Accept(order.Request{})
	running, _ := q.Accept(order.Request{})
	waiting, start := q.Accept(order.Request{Exclusive: true})
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
	q.Accept(order.Request{})
	second, _ := q.Accept(order.Request{})
	require.True(t, q.MayRead())
	q.Complete(second, limits.HeldBytes, false)
	require.False(t, q.MayRead())
}

// model is a plain account of what one connection has been promised, against which the queue is checked.
type model struct {
	exclusive []bool
	started   map[int]bool
	completed map[int]bool
	sent      int
	closing   bool
	hungUp    bool
	ended     bool
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
	require.False(t, m.started[sequence], "request %d starts twice", sequence)
	if m.exclusive[sequence] {
		require.Equal(t, sequence, m.sent, "exclusive request %d starts beside another", sequence)
	}
	m.started[sequence] = true
}

func (m *model) accept(t *rapid.T, q *order.Queue) {
	require.False(t, m.closing || m.hungUp, "a request is read after the end")
	if last := len(m.exclusive) - 1; last >= 0 && m.exclusive[last] {
		require.Greater(t, m.sent, last, "a request is read behind an exclusive one")
	}
	require.Less(t, len(m.exclusive)-m.sent, limits.Requests)
	request := order.Request{Exclusive: rapid.Bool().Draw(t, "exclusive"), Last: rapid.IntRange(0, 9).Draw(t, "last") == 0}
	sequence, start := q.Accept(request)
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
}

// send sends all responses that are due.
func (m *model) send(t *rapid.T, q *order.Queue) {
	for {
		sequence, last, found := q.NextResponse()
		if !found {
			break
		}
		require.False(t, m.ended || m.hungUp, "a response is sent after the end")
		require.Equal(t, m.sent, sequence, "responses are sent in order")
		require.True(t, m.completed[sequence])
		if last {
			require.True(t, m.closing)
			for later := sequence + 1; later < len(m.exclusive); later++ {
				require.False(t, m.started[later], "request %d has started and gets no response", later)
			}
		}
		m.sent++
		m.ended = last
		if next, start := q.Sent(); start {
			m.start(t, next)
		}
	}
	require.False(t, m.completed[m.sent] && !m.hungUp, "response %d is due and was not sent", m.sent)
}

func TestQueueKeepsOrderUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := order.NewQueue(limits)
		m := &model{started: map[int]bool{}, completed: map[int]bool{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			running := m.running()
			switch step := rapid.IntRange(0, 20).Draw(t, "step"); {
			case step < 9 && q.MayRead():
				m.accept(t, q)
			case step < 20 && len(running) > 0:
				m.complete(t, q, rapid.SampledFrom(running).Draw(t, "sequence"))
			case step == 20:
				q.HangUp()
				m.hungUp = true
			}
			m.send(t, q)
		}
		for running := m.running(); len(running) > 0; running = m.running() {
			m.complete(t, q, running[0])
			m.send(t, q)
		}
		require.True(t, q.Ended() || q.MayRead(), "a connection without running requests reads or ends")
	})
}
