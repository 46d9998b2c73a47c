package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

const (
	receiverName   = "Settings"
	methodExchange = receiverName + ".Exchange"
	methodPush     = receiverName + ".Push"
	methodOffer    = receiverName + ".Offer"
	methodEnd      = receiverName + ".End"
	methodObserve  = receiverName + ".Observe"
)

// Receiver answers the holders of other nodes over net/rpc.
type Receiver struct {
	holder *Holder
}

// ExchangeArgs names the caller's revision.
type ExchangeArgs struct {
	Revision uint64
}

// ExchangeReply names this node's revision, with its record if the caller has a lower one.
type ExchangeReply struct {
	Revision uint64
	Record   Record
}

// Exchange compares revisions.
func (r *Receiver) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	record := r.holder.Record()
	reply.Revision = record.Revision
	if record.Revision > args.Revision {
		reply.Record = record
	}

	return nil
}

// Push shows this node an accepted revision.
func (r *Receiver) Push(record Record, _ *struct{}) error {
	r.holder.Adopt(context.Background(), record, "pushed by a peer")

	return nil
}

// OfferArgs is a proposal that is to act on this node for a lease.
type OfferArgs struct {
	Edit  string
	Base  uint64
	Text  string
	Lease time.Duration
}

// OfferReply says whether the proposal acts, and if not whether another one does.
type OfferReply struct {
	Accepted bool
	Busy     bool
	Detail   string
}

// Offer puts a proposal on trial here.
func (r *Receiver) Offer(args OfferArgs, reply *OfferReply) error {
	err := r.holder.change(func(c NodeState) (NodeState, error) {
		return c.StartTrial(args.Edit, args.Base, args.Text, time.Now().Add(args.Lease))
	})
	*reply = OfferReply{Accepted: err == nil, Busy: errors.Is(err, ErrBusy)}
	if err != nil {
		reply.Detail = err.Error()
	}

	return nil
}

// End takes the edit off trial.
func (r *Receiver) End(edit string, _ *struct{}) error {
	return r.holder.change(func(c NodeState) (NodeState, error) { return c.EndTrial(edit), nil })
}

// ObserveArgs names the edit whose lease is renewed, empty for none.
type ObserveArgs struct {
	Edit  string
	Lease time.Duration
}

// ObserveReply is what a node counted so far.
type ObserveReply struct {
	Trial    string
	Revision uint64
	Entry    trial.Count
	Exec     trial.Count
}

// Observe renews the lease and returns the counts of important requests.
func (r *Receiver) Observe(args ObserveArgs, reply *ObserveReply) error {
	h := r.holder
	err := h.change(func(c NodeState) (NodeState, error) { return c.RenewLease(args.Edit, time.Now().Add(args.Lease)), nil })
	current := h.NodeState()
	reply.Trial, reply.Revision = current.Trial(), current.Record().Revision
	if h.gauges.entry != nil {
		reply.Entry = h.gauges.entry.Goodput()
	}
	if h.gauges.exec != nil {
		reply.Exec = h.gauges.exec.Goodput()
	}

	return err
}
