package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// drawUpdate returns an update with any content that the codec between nodes can carry.
func drawUpdate(t *rapid.T) member.Update {
	if rapid.IntRange(0, 4).Draw(t, "empty") == 0 {
		return member.Update{}
	}
	state := rapid.SampledFrom([]member.State{
		"", "unknown", member.StateStarting, member.StateServing, member.StateDraining, member.StateSuspect, member.StateDead, member.StateLeft,
	})

	return member.Update{
		Age: time.Duration(rapid.Int64().Draw(t, "age")),
		Entry: &member.Entry{
			ID:          rapid.SampledFrom([]string{"", "self", "a", "b", "c"}).Draw(t, "id"),
			Incarnation: rapid.SampledFrom([]uint64{0, 1, 2, 1 << 63}).Draw(t, "incarnation"),
			Version:     rapid.SampledFrom([]uint64{0, 1, 1 << 63}).Draw(t, "version"),
			State:       state.Draw(t, "state"),
			Declared:    state.Draw(t, "declared"),
			DataCentre:  rapid.SampledFrom([]string{"", "hal-a"}).Draw(t, "data centre"),
			Service:     rapid.SampledFrom([]string{"", "logboek"}).Draw(t, "service"),
			Control:     rapid.SampledFrom([]string{"", "a:1", "\x00"}).Draw(t, "control"),
			Departed:    rapid.SampledFrom([]*member.Departure{nil, {}, {Process: "i-1", At: time.Unix(1<<60, 0)}}).Draw(t, "departed"),
		},
	}
}

func drawMessage(t *rapid.T) member.Message {
	return member.Message{From: drawUpdate(t), Updates: rapid.SliceOfN(rapid.Custom(drawUpdate), 0, 4).Draw(t, "updates")}
}

// Messages may come from a faulty node, or from another program that has taken over a node's address.
func TestAnyMessageIsHandledWithoutPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		fleet := member.New(member.Entry{ID: "self", Incarnation: 2, DataCentre: "hal-a", Service: "logboek", State: member.StateStarting}, member.Options{}, now)
		var actions []member.Action
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond)
			action := member.Action{To: "a"}
			if len(actions) > 0 {
				action = actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]
			}
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				fleet.HandleExchange(now, drawMessage(t))
			case 1:
				fleet.HandleSync(now, member.Digest{From: drawUpdate(t), Sums: rapid.SliceOfN(rapid.Uint64(), 0, 70).Draw(t, "sums")})
			case 2:
				fleet.HandleSyncResponse(now, action, member.Difference{
					From:    drawUpdate(t),
					Buckets: rapid.SliceOfN(rapid.IntRange(-70, 70), 0, 4).Draw(t, "buckets"),
					Updates: rapid.SliceOfN(rapid.Custom(drawUpdate), 0, 4).Draw(t, "updates"),
				})
			case 3:
				fleet.HandleExchangeResponse(now, action, drawMessage(t))
			case 4:
				fleet.HandleIndirectResponse(now, action, rapid.Bool().Draw(t, "ok"))
			case 5:
				fleet.HandleCallFailure(now, action)
			case 6:
				fleet.AddContacts([]string{rapid.SampledFrom([]string{"", "a:1", "\x00"}).Draw(t, "contact")})
			case 7:
				actions = append(actions, fleet.Tick(now)...)
			}
			require.Equal(t, "self", fleet.Self().ID)
		}
	})
}
