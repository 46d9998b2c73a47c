package claim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// faultyTable is a table service with one row and random faults: it is unavailable, loses a write, applies a write without a
// response, or delays a write.
type faultyTable struct {
	rapid   *rapid.T
	value   []byte
	version int
	delayed []func()
	// reads is the number of reads with a response.
	reads int
}

// writeResult is the effect of a request to the table and of its response.
type writeResult int

const (
	resultOK writeResult = iota
	resultUnavailable
	resultNoResponse
	resultLost
	resultDelayed
)

func (f *faultyTable) drawResult() writeResult {
	return rapid.SampledFrom([]writeResult{resultOK, resultOK, resultOK, resultUnavailable, resultNoResponse, resultLost, resultDelayed}).Draw(f.rapid, "result")
}

// applyDelayed applies a random number of the delayed writes.
func (f *faultyTable) applyDelayed() {
	for len(f.delayed) > 0 && rapid.Bool().Draw(f.rapid, "applied") {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
}

func (f *faultyTable) Get(context.Context, string) (store.Row, error) {
	f.applyDelayed()
	if f.drawResult() != resultOK {
		return store.Row{}, store.ErrUnavailable
	}
	if f.value == nil {
		return store.Row{}, store.ErrNotFound
	}
	f.reads++

	return store.Row{Value: f.value, ETag: fmt.Sprint(f.version)}, nil
}

func (f *faultyTable) Insert(_ context.Context, _ string, value []byte) (string, error) {
	return f.write(value, func() bool { return f.value == nil })
}

func (f *faultyTable) Put(_ context.Context, _ string, value []byte, etag string) (string, error) {
	return f.write(value, func() bool { return f.value != nil && etag == fmt.Sprint(f.version) })
}

func (f *faultyTable) write(value []byte, condition func() bool) (string, error) {
	f.applyDelayed()
	apply := func() bool {
		if !condition() {
			return false
		}
		f.value = value
		f.version++

		return true
	}
	switch f.drawResult() {
	case resultUnavailable:
		return "", store.ErrUnavailable
	case resultLost:
		return "", store.ErrUnknownEffect
	case resultNoResponse:
		apply()

		return "", store.ErrUnknownEffect
	case resultDelayed:
		f.delayed = append(f.delayed, func() { apply() })

		return "", store.ErrUnknownEffect
	default:
		if !apply() {
			return "", store.ErrConflict
		}

		return fmt.Sprint(f.version), nil
	}
}

// noDeadline hides the deadline of the test, which cannot be compared with the virtual time of a synctest bubble.
type noDeadline struct{ *testing.T }

func (noDeadline) Deadline() (time.Time, bool) { return time.Time{}, false }

// TestKeyMovesOnlyFromRetiredOperation checks under all faults of the table that a key passes to another operation only after its
// former operation was retired. Otherwise two operations could run for one key.
func TestKeyMovesOnlyFromRetiredOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			table := &faultyTable{rapid: rt}
			key := claim.Key{Service: "pokladna", Key: "key", Digest: 7}
			retired := map[call.ID]bool{}
			var holder claim.Ticket
			var previous []claim.Ticket
			for range rapid.IntRange(1, 12).Draw(rt, "steps") {
				proposed := claim.Ticket{Op: call.NewID(), Node: "node", Incarnation: 5}
				var got claim.Ticket
				var err error
				if holder.Op != "" && rapid.Bool().Draw(rt, "move") {
					former := rapid.SampledFrom(previous).Draw(rt, "former")
					retired[former.Op] = true
					got, err = claim.Move(t.Context(), table, key, former, proposed)
				} else {
					got, _, err = claim.Claim(t.Context(), table, key, proposed)
				}
				if err != nil {
					require.ErrorIs(rt, err, claim.ErrTableUnavailable)

					continue
				}
				if holder.Op != "" && !retired[holder.Op] {
					require.Equal(rt, holder, got, "the key moved from an operation that was not retired")
				}
				holder = got
				previous = append(previous, got)
			}
		})
	})
}

func TestKeyReusedForOtherContentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			table := &faultyTable{rapid: rt}
			key := claim.Key{Service: "pokladna", Key: "key", Digest: 7}
			if _, _, err := claim.Claim(t.Context(), table, key, claim.Ticket{Op: call.NewID(), Node: "node", Incarnation: 5}); err != nil {
				return
			}
			key.Digest++
			_, _, err := claim.Claim(t.Context(), table, key, claim.Ticket{Op: call.NewID(), Node: "other", Incarnation: 6})
			require.Error(rt, err)
		})
	})
}

func TestReusedKeyIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			table := &faultyTable{rapid: rt}
			key := claim.Key{Service: "pokladna", Key: "key", Digest: 7}
			holder := claim.Ticket{Op: call.NewID(), Node: "node", Incarnation: 5}
			if _, _, err := claim.Claim(t.Context(), table, key, holder); err != nil {
				return
			}
			other := key
			other.Digest++
			reads := table.reads
			_, err := claim.Move(t.Context(), table, other, holder, claim.Ticket{Op: call.NewID(), Node: "other", Incarnation: 6})
			require.Error(rt, err)
			if table.reads > reads {
				require.ErrorIs(rt, err, claim.ErrKeyReused, "the request is at fault, not the table")
				require.Equal(rt, 1, table.reads-reads, "further reads change nothing")
			}
			got, err := claim.Lookup(t.Context(), table, key)
			if err == nil {
				require.Equal(rt, holder, got)
			}
		})
	})
}

func TestTicketRoundTrip(t *testing.T) {
	for _, node := range []string{"logboek-1", "10.0.0.7:81", "a.b.c"} {
		ticket := claim.Ticket{Op: call.NewID(), Node: node, Incarnation: 1<<63 + 5}
		parsed, err := claim.ParseTicket(ticket.String())
		require.NoError(t, err)
		require.Equal(t, ticket, parsed)
	}
	for _, text := range []string{"", "a", "a.b", "a.b.c", "..", string(call.NewID()) + ".0.node", string(call.NewID()) + ".5."} {
		_, err := claim.ParseTicket(text)
		require.ErrorIs(t, err, claim.ErrBadTicket, text)
	}
}
