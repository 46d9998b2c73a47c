package beat_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

// newRestarted returns the server of a node that has just been started.
func newRestarted() *beat.Server {
	confirmed := options
	confirmed.ConfirmFirst = true

	return beat.NewServer(confirmed)
}

// Guards against a late heartbeat that makes a server ready which may have left before the node was started.
func TestFirstHeartbeatsAfterARestartNeedConfirmation(t *testing.T) {
	for name, test := range map[string]struct {
		sequences []uint64
		apart     time.Duration
		state     beat.State
	}{
		"one":                                    {[]uint64{7}, 0, beat.StateAbsent},
		"one, several times":                     {[]uint64{7, 7, 7, 7, 7}, interval, beat.StateAbsent},
		"several at once":                        {[]uint64{7, 8, 9, 10, 11}, interval / 100, beat.StateAbsent},
		"several in wrong order":                 {[]uint64{11, 10, 9, 8, 7}, interval, beat.StateAbsent},
		"as many as a server that goes on sends": {[]uint64{7, 8, 9, 10}, interval, beat.StateReady},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newRestarted(), time.Now()
			for _, sequence := range test.sequences {
				now = now.Add(test.apart)
				s.HandleHeartbeat(now, heartbeat("i-1", 100, sequence))
			}
			require.Equal(t, test.state, s.State())
		})
	}
}

func TestConfirmMakesTheCandidateReady(t *testing.T) {
	now := time.Now()
	s := newRestarted()
	require.False(t, s.Confirm(now, "i-1"), "without a heartbeat")
	require.Equal(t, beat.VerdictUnconfirmed, s.HandleHeartbeat(now, heartbeat("i-1", 100, 7)))
	require.False(t, s.Confirm(now, "i-2"), "another process")
	require.True(t, s.Confirm(now, "i-1"))
	require.Equal(t, beat.StateReady, s.State())
	require.Equal(t, beat.VerdictAccepted, s.HandleHeartbeat(now, heartbeat("i-1", 100, 8)))
	require.Equal(t, beat.VerdictAccepted, s.HandleHeartbeat(now, heartbeat("i-2", 200, 1)), "a successor of a known process")
}

func TestCandidateThatHasLeftIsNotConfirmed(t *testing.T) {
	now := time.Now()
	for name, leave := range map[string]func(s *beat.Server){
		"deregistered": func(s *beat.Server) { s.Deregister(now, "i-1") },
		"read later": func(s *beat.Server) {
			s.Restore(now, beat.Snapshot{Heartbeat: heartbeat("i-1", 100, 7), Left: true, AsOf: now}, false)
		},
		"said it itself": func(s *beat.Server) {
			draining := heartbeat("i-1", 100, 8)
			draining.Draining = true
			require.Equal(t, beat.VerdictAccepted, s.HandleHeartbeat(now, draining))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestarted()
			require.Equal(t, beat.VerdictUnconfirmed, s.HandleHeartbeat(now, heartbeat("i-1", 100, 7)))
			leave(s)
			require.False(t, s.Confirm(now, "i-1"))
			require.NotEqual(t, beat.StateReady, s.State())
		})
	}
}

// Guards against a heartbeat of another lifetime under the same ID, which brings back a server that has left.
func TestHeartbeatOfAnotherLifetimeDoesNotBringBackAServerThatLeft(t *testing.T) {
	for name, startedAt := range map[string]int64{"earlier start": 50, "start in the far future": 9e12} {
		t.Run(name, func(t *testing.T) {
			s, now := beat.NewServer(options), time.Now()
			s.HandleHeartbeat(now, heartbeat("i-1", 100, 7))
			require.True(t, s.Deregister(now, "i-1"))
			now = now.Add(10 * interval)
			require.Equal(t, beat.VerdictUnconfirmed, s.HandleHeartbeat(now, heartbeat("i-1", startedAt, 1)))
			require.Equal(t, beat.StateDraining, s.State())
			require.True(t, s.Confirm(now, "i-1"), "a status check shows that it is well")
			require.Equal(t, beat.VerdictSuperseded, s.HandleHeartbeat(now, heartbeat("i-1", 100, 8)))
		})
	}
}
