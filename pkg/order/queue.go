package order

// Limits bound what one connection may have in progress.
type Limits struct {
	// Requests is the number of requests without a sent response at which no further request is read.
	Requests int
	// HeldBytes is the size in bytes of finished responses that wait for an earlier one, at which no further request is read.
	HeldBytes int
}

// Request describes a request that has been read.
type Request struct {
	// Exclusive is true if the request must not run beside others: it starts after all responses before it have been sent, and no
	// request is read behind it.
	Exclusive bool
	// Last is true if the connection ends after the response, since the client asked for it or the request is malformed.
	Last bool
}

type state int

const (
	stateWaiting state = iota
	stateRunning
	stateDone
	stateSending
)

type exchange struct {
	state state
	bytes int
}

// Queue holds the requests of one connection that have no sent response, in the order in which they were read. Requests are
// identified by their sequence number, which begins with 0.
//
// Once a response asks to close the connection, or the client has hung up, the connection takes no further request: the one that is
// being read at that time is abandoned. The client sends it again, since it counts as unread behind a response that closes.
type Queue struct {
	limits Limits
	// exchanges are the requests from sequence number first on.
	exchanges []exchange
	first     int
	held      int
	// reading is true while the next request is being read.
	reading bool
	// exclusive is true while an exclusive request is in the queue.
	exclusive bool
	closing   bool
	hungUp    bool
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits}
}

// MayRead reports whether the next request may be read.
func (q *Queue) MayRead() bool {
	return !q.reading && !q.closing && !q.hungUp && !q.exclusive && len(q.exchanges) < q.limits.Requests && q.held < q.limits.HeldBytes
}

// BeginRead records that the next request is being read from now on. It returns false if the request must not be read.
func (q *Queue) BeginRead() bool {
	if !q.MayRead() {
		return false
	}
	q.reading = true

	return true
}

// Reading reports whether a request is being read. It is false as soon as that request is abandoned.
func (q *Queue) Reading() bool {
	return q.reading
}

// Open returns the number of requests without a sent response.
func (q *Queue) Open() int {
	return len(q.exchanges)
}

// Ended reports whether the connection is over: the client has hung up, or the last response has been sent.
func (q *Queue) Ended() bool {
	return q.hungUp || q.closing && len(q.exchanges) == 0
}

// Accept adds the request that was being read, and reports whether it starts now. It returns false for accepted if the request has been
// abandoned: it must be neither run nor answered.
func (q *Queue) Accept(request Request) (sequence int, start, accepted bool) {
	if !q.reading {
		return 0, false, false
	}
	q.reading = false
	sequence = q.first + len(q.exchanges)
	start = !request.Exclusive || len(q.exchanges) == 0
	next := exchange{state: stateWaiting}
	if start {
		next.state = stateRunning
	}
	q.exchanges = append(q.exchanges, next)
	q.exclusive = request.Exclusive
	q.closing = request.Last

	return sequence, start, true
}

// Complete records the response to a running request, with its size in bytes and whether it asks to close the connection. If it does, no
// request is read or started from then on, but those that are running are still answered.
func (q *Queue) Complete(sequence, bytes int, closes bool) {
	x := &q.exchanges[sequence-q.first]
	x.state, x.bytes = stateDone, bytes
	q.held += bytes
	if !closes {
		return
	}
	q.closing, q.reading = true, false
	if last := len(q.exchanges) - 1; last >= 0 && q.exchanges[last].state == stateWaiting {
		q.exchanges = q.exchanges[:last]
		q.exclusive = false
	}
}

// NextResponse returns the request whose response is to be sent now, if there is one. The response has to close the connection if
// last is true. Sent must be called before the next response is asked for.
func (q *Queue) NextResponse() (sequence int, last, found bool) {
	if q.hungUp || len(q.exchanges) == 0 || q.exchanges[0].state != stateDone {
		return 0, false, false
	}
	q.exchanges[0].state = stateSending

	return q.first, q.closing && len(q.exchanges) == 1, true
}

// Sent removes the request whose response has been sent, and returns the request that has waited for it and starts now, if any.
func (q *Queue) Sent() (sequence int, start bool) {
	q.held -= q.exchanges[0].bytes
	q.exchanges = q.exchanges[1:]
	q.first++
	if len(q.exchanges) == 0 {
		q.exchanges, q.exclusive = nil, false
	}
	if q.hungUp || len(q.exchanges) == 0 || q.exchanges[0].state != stateWaiting {
		return 0, false
	}
	q.exchanges[0].state = stateRunning

	return q.first, true
}

// HangUp records that the client has closed the connection: nothing is read, started or sent any more.
func (q *Queue) HangUp() {
	q.hungUp, q.reading = true, false
}
