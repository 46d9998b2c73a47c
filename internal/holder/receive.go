package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Names of the net/rpc service and its methods.
const (
	receiverName   = "Settings"
	methodExchange = receiverName + ".Exchange"
	methodPush     = receiverName + ".Push"
	methodOffer    = receiverName + ".Offer"
	methodEnd      = receiverName + ".End"
	methodObserve  = receiverName + ".Observe"
)

// Receiver implements the net/rpc methods that the holders of other nodes call.
type Receiver struct {
	holder *Holder
}

// ExchangeArgs holds the number of the caller's accepted revision.
type ExchangeArgs struct {
	Revision uint64
}

// ExchangeReply holds the number of the called node's accepted revision, and its record if the caller's number is lower.
type ExchangeReply struct {
	Revision uint64
	Record   Record
}

// Exchange returns this node's accepted revision if it is newer than the caller's. A caller with a newer one follows up with
// Push.
func (r *Receiver) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	record := r.holder.Record()
	reply.Revision = record.Revision
	if record.Revision > args.Revision {
		reply.Record = record
	}

	return nil
}

// Push offers an accepted revision to this node, which adopts it if it is newer.
func (r *Receiver) Push(record Record, _ *struct{}) error {
	r.holder.Adopt(context.Background(), record, "pushed by another node")

	return nil
}

// OfferArgs is a proposal that is to be used by this node for the duration of the lease. Edit is the ID of the edit, Base the
// revision that the proposal is based on, and Text the tree.
type OfferArgs struct {
	Edit  string
	Base  uint64
	Text  string
	Lease time.Duration
}

// OfferReply reports whether the node has the proposal on trial. If not, Busy reports whether it has another one, and Detail
// describes the cause.
type OfferReply struct {
	Accepted bool
	Busy     bool
	Detail   string
}

// Offer puts a proposal on trial on this node, or renews its lease.
func (r *Receiver) Offer(args OfferArgs, reply *OfferReply) error {
	err := r.holder.updateState(func(s NodeState) (NodeState, error) {
		return s.StartTrial(args.Edit, args.Base, args.Text, time.Now().Add(args.Lease))
	})
	*reply = OfferReply{Accepted: err == nil, Busy: errors.Is(err, ErrBusy)}
	if err != nil {
		reply.Detail = err.Error()
	}

	return nil
}

// End ends the trial of the edit on this node.
func (r *Receiver) End(editID string, _ *struct{}) error {
	return r.holder.updateState(func(s NodeState) (NodeState, error) { return s.EndTrial(editID), nil })
}

// ObserveArgs holds the ID of the edit whose lease is to be renewed, empty for none, and the new duration of the lease.
type ObserveArgs struct {
	Edit  string
	Lease time.Duration
}

// ObserveReply holds the ID of the edit on trial on the called node, empty for none, the number of its accepted revision, and
// its counts of important requests as entry node (Entry) and as executing node (Exec) since its start.
type ObserveReply struct {
	Trial    string
	Revision uint64
	Entry    trial.Count
	Exec     trial.Count
}

// Observe renews the lease and returns the counts of important requests.
func (r *Receiver) Observe(args ObserveArgs, reply *ObserveReply) error {
	h := r.holder
	err := h.updateState(func(s NodeState) (NodeState, error) { return s.RenewLease(args.Edit, time.Now().Add(args.Lease)), nil })
	current := h.NodeState()
	reply.Trial, reply.Revision = current.Trial(), current.Record().Revision
	if h.goodput.entry != nil {
		reply.Entry = h.goodput.entry.Goodput()
	}
	if h.goodput.exec != nil {
		reply.Exec = h.goodput.exec.Goodput()
	}

	return err
}
