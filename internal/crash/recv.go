package crash

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/fatal"
)

// RPC methods on the control listener.
const (
	receiverName = "Crash"
	methodRecord = receiverName + ".Record"
	methodClear  = receiverName + ".Clear"
	methodList   = receiverName + ".List"
)

// Crash is the end of a backend server process, with the requests that it was running.
type Crash struct {
	Process  string
	Requests []fatal.ID
}

// Receiver serves the calls of other nodes.
type Receiver struct {
	crashes *Crashes
}

// Record adds a crash that another node has seen.
func (r *Receiver) Record(crash Crash, _ *struct{}) error {
	r.crashes.apply(crash)

	return nil
}

// Clear removes requests that have got a response at another node.
func (r *Receiver) Clear(requests []fatal.ID, _ *struct{}) error {
	r.crashes.clear(requests)

	return nil
}

// List returns the requests with several crashes.
func (r *Receiver) List(_ struct{}, reply *[]fatal.Entry) error {
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	*reply = r.crashes.table.Entries(time.Now())

	return nil
}
