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

// table is a table service that fails as the draw has it: away, effect without answer, and effect that comes late.
type table struct {
	rapid   *rapid.T
	value   []byte
	version int
	late    []func()
}

type fate int

const (
	fateOK fate = iota
	fateAway
	fateNoAnswer
	fateLost
	fateLate
)

func (f *table) draw() fate {
	return rapid.SampledFrom([]fate{fateOK, fateOK, fateOK, fateAway, fateNoAnswer, fateLost, fateLate}).Draw(f.rapid, "fate")
}

// arrive lets writes that were on their way take effect, or not yet.
func (f *table) arrive() {
	for len(f.late) > 0 && rapid.Bool().Draw(f.rapid, "arrives") {
		f.late[0]()
		f.late = f.late[1:]
	}
}

func (f *table) Get(context.Context, string) (store.Row, error) {
	f.arrive()
	if f.draw() != fateOK {
		return store.Row{}, store.ErrUnavailable
	}
	if f.value == nil {
		return store.Row{}, store.ErrNotFound
	}

	return store.Row{Value: f.value, ETag: fmt.Sprint(f.version)}, nil
}

func (f *table) Insert(_ context.Context, _ string, value []byte) (string, error) {
	return f.write(value, func() bool { return f.value == nil })
}

func (f *table) Put(_ context.Context, _ string, value []byte, etag string) (string, error) {
	return f.write(value, func() bool { return f.value != nil && etag == fmt.Sprint(f.version) })
}

func (f *table) write(value []byte, holds func() bool) (string, error) {
	f.arrive()
	apply := func() bool {
		if !holds() {
			return false
		}
		f.value = value
		f.version++

		return true
	}
	switch f.draw() {
	case fateAway:
		return "", store.ErrUnavailable
	case fateLost:
		return "", store.ErrUnknownEffect
	case fateNoAnswer:
		apply()

		return "", store.ErrUnknownEffect
	case fateLate:
		f.late = append(f.late, func() { apply() })

		return "", store.ErrUnknownEffect
	default:
		if !apply() {
			return "", store.ErrConflict
		}

		return fmt.Sprint(f.version), nil
	}
}

// timeless has no deadline, which the virtual time of a bubble could not be compared with.
type timeless struct{ *testing.T }

func (timeless) Deadline() (time.Time, bool) { return time.Time{}, false }

// TestAKeyHasOneHolderAtATime: whatever the table does, nobody is given an operation that another holder has replaced.
func TestAKeyHasOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(timeless{t}, func(rt *rapid.T) {
			rows := &table{rapid: rt}
			key := claim.Key{Service: "pokladna", Key: "key", Print: 7}
			retired := map[call.ID]bool{}
			var holder claim.Ticket
			var seen []claim.Ticket
			for range rapid.IntRange(1, 12).Draw(rt, "steps") {
				proposed := claim.Ticket{Op: call.NewID(), Node: "node", Incarnation: 5}
				var got claim.Ticket
				var err error
				if holder.Op != "" && rapid.Bool().Draw(rt, "move") {
					former := rapid.SampledFrom(seen).Draw(rt, "former")
					retired[former.Op] = true
					got, err = claim.Move(t.Context(), rows, key, former, proposed)
				} else {
					got, _, err = claim.Claim(t.Context(), rows, key, proposed)
				}
				if err != nil {
					require.ErrorIs(rt, err, claim.ErrAway)

					continue
				}
				if holder.Op != "" && !retired[holder.Op] {
					require.Equal(rt, holder, got, "the holder changed though its operation was not retired")
				}
				holder = got
				seen = append(seen, got)
			}
		})
	})
}

func TestKeyOfOtherContentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(timeless{t}, func(rt *rapid.T) {
			rows := &table{rapid: rt}
			key := claim.Key{Service: "pokladna", Key: "key", Print: 7}
			if _, _, err := claim.Claim(t.Context(), rows, key, claim.Ticket{Op: call.NewID(), Node: "node", Incarnation: 5}); err != nil {
				return
			}
			key.Print++
			_, _, err := claim.Claim(t.Context(), rows, key, claim.Ticket{Op: call.NewID(), Node: "other", Incarnation: 6})
			require.Error(rt, err)
		})
	})
}

func TestTicketsAreReadAsTheyWereWritten(t *testing.T) {
	for _, node := range []string{"logboek-1", "10.0.0.7:81", "a.b.c"} {
		ticket := claim.Ticket{Op: call.NewID(), Node: node, Incarnation: 1<<63 + 5}
		read, err := claim.ParseTicket(ticket.String())
		require.NoError(t, err)
		require.Equal(t, ticket, read)
	}
	for _, text := range []string{"", "a", "a.b", "a.b.c", "..", string(call.NewID()) + ".0.node", string(call.NewID()) + ".5."} {
		_, err := claim.ParseTicket(text)
		require.ErrorIs(t, err, claim.ErrBadTicket, text)
	}
}
