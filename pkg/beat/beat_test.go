package beat_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

const interval = time.Second

var options = beat.Options{Service: "logboek", Address: "10.0.0.1:80", Interval: interval}

func report(id string, born int64, sequence uint64) beat.Heartbeat {
	return beat.Heartbeat{ID: id, Service: "logboek", Address: "10.0.0.1:80", StartedAt: time.UnixMilli(born), Sequence: sequence, Slots: 4}
}

// hearing is one heartbeat that comes after a while, and what is expected of it.
type hearing struct {
	after    time.Duration
	report   beat.Heartbeat
	draining bool
	verdict  beat.Verdict
	state    beat.State
}

func TestHear(t *testing.T) {
	foreign := report("i-1", 100, 1)
	foreign.Service = "alarm"
	for name, hearings := range map[string][]hearing{
		"first and next": {
			{0, report("i-1", 100, 1), false, beat.VerdictAccepted, beat.StateReady},
			{interval, report("i-1", 100, 2), false, beat.VerdictAccepted, beat.StateReady},
		},
		"another service": {{0, foreign, false, beat.VerdictWrongServer, beat.StateAbsent}},
		"overtaken": {
			{0, report("i-1", 100, 5), false, beat.VerdictAccepted, beat.StateReady},
			{0, report("i-1", 100, 4), true, beat.VerdictOutOfOrder, beat.StateReady},
		},
		"restart under the same id counts from one": {
			{0, report("i-1", 100, 9), false, beat.VerdictAccepted, beat.StateReady},
			{interval, report("i-1", 200, 1), false, beat.VerdictAccepted, beat.StateReady},
			{interval, report("i-1", 100, 10), true, beat.VerdictSuperseded, beat.StateReady},
		},
		"draining stays": {
			{0, report("i-1", 100, 1), true, beat.VerdictAccepted, beat.StateDraining},
			{interval, report("i-1", 100, 2), false, beat.VerdictAccepted, beat.StateDraining},
		},
		"the next process after one that left": {
			{0, report("i-1", 100, 1), true, beat.VerdictAccepted, beat.StateDraining},
			{interval, report("i-2", 200, 1), false, beat.VerdictAccepted, beat.StateReady},
			{0, report("i-1", 100, 2), false, beat.VerdictSuperseded, beat.StateReady},
		},
		"delayed heartbeat of the one before": {
			{0, report("i-2", 200, 1), false, beat.VerdictAccepted, beat.StateReady},
			{0, report("i-1", 100, 7), false, beat.VerdictSuperseded, beat.StateReady},
		},
		"delayed heartbeat without a birth does not replace one that is heard of": {
			{0, report("i-2", 0, 3), false, beat.VerdictAccepted, beat.StateReady},
			{interval, report("i-1", 0, 7), false, beat.VerdictSuperseded, beat.StateReady},
		},
		"clock set back between two processes": {
			{0, report("i-1", 900, 3), false, beat.VerdictAccepted, beat.StateReady},
			{4 * interval, report("i-2", 100, 1), false, beat.VerdictAccepted, beat.StateReady},
			{0, report("i-1", 900, 4), false, beat.VerdictAccepted, beat.StateReady},
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			server := beat.NewServer(options)
			for _, h := range hearings {
				now = now.Add(h.after)
				h.report.Draining = h.draining
				require.Equal(t, h.verdict, server.HandleHeartbeat(now, h.report), h.report.String())
				require.Equal(t, h.state, server.State(), h.report.String())
			}
		})
	}
}

func TestLeaveConcernsOnlyTheServerThatIsKnown(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.Deregister(now, "i-9"))
	server.HandleHeartbeat(now, report("i-1", 100, 1))
	require.False(t, server.Deregister(now, "i-0"))
	require.Equal(t, beat.StateReady, server.State())
	require.True(t, server.Deregister(now, "i-1"))
	require.Equal(t, beat.StateDraining, server.State())
}

func TestALostServerComesBackWithItsNextHeartbeat(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	server.HandleHeartbeat(now, report("i-1", 100, 1))
	require.False(t, server.Tick(now.Add(3*interval)))
	require.True(t, server.Tick(now.Add(5*interval)))
	require.Equal(t, beat.StateLost, server.State())
	server.HandleHeartbeat(now.Add(6*interval), report("i-1", 100, 2))
	require.Equal(t, beat.StateReady, server.State())
	server.HandleWrongProcess("i-1")
	require.Equal(t, beat.StateLost, server.State())
}

// A node that was started anew may receive a deregistration before any heartbeat; a late heartbeat must not bring the server back.
func TestADeregistrationBeforeAnyHeartbeatIsRemembered(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.Deregister(now, "i-1"))
	require.Equal(t, beat.VerdictSuperseded, server.HandleHeartbeat(now, report("i-1", 0, 22)))
	require.Equal(t, beat.StateAbsent, server.State())
	require.Equal(t, beat.VerdictSuperseded, server.HandleHeartbeat(now, report("i-1", now.Add(-time.Minute).UnixMilli(), 23)))
	require.Equal(t, beat.VerdictAccepted, server.HandleHeartbeat(now, report("i-1", now.Add(time.Minute).UnixMilli(), 1)), "a later start under the same ID")
}

// The load is the restart of a node whose backend server runs on; its next heartbeat may be a whole interval away.
func TestARestartedNodeKnowsTheProcessThatAnswers(t *testing.T) {
	now := time.Now()
	before := beat.NewServer(options)
	_, known := before.Snapshot(now)
	require.False(t, known)
	before.HandleHeartbeat(now, report("i-1", 100, 7))
	past, known := before.Snapshot(now)
	require.True(t, known)

	after := beat.NewServer(options)
	require.False(t, after.Restore(now, past, false), "nothing answers, or another process")
	require.Equal(t, beat.StateAbsent, after.State())
	require.True(t, after.Restore(now, past, true))
	require.Equal(t, beat.StateReady, after.State())
	require.Equal(t, beat.VerdictOutOfOrder, after.HandleHeartbeat(now, report("i-1", 100, 7)))
	require.Equal(t, beat.VerdictAccepted, after.HandleHeartbeat(now, report("i-1", 100, 8)))
	require.Equal(t, beat.VerdictAccepted, after.HandleHeartbeat(now, report("i-1", 200, 1)))

	heard := beat.NewServer(options)
	heard.HandleHeartbeat(now, report("i-2", 300, 1))
	require.False(t, heard.Restore(now, past, true), "a heartbeat since the restart goes first")
	require.Equal(t, "i-2", heard.LastHeartbeat().ID)
}

// A leaving that was acknowledged binds after a restart too, whatever late heartbeat comes.
func TestARestartedNodeKnowsWhoLeft(t *testing.T) {
	now := time.Now()
	for name, leave := range map[string]func(s *beat.Server){
		"draining": func(s *beat.Server) {
			leaving := report("i-1", 100, 8)
			leaving.Draining = true
			s.HandleHeartbeat(now, leaving)
		},
		"deregistration":               func(s *beat.Server) { s.HandleHeartbeat(now, report("i-1", 100, 8)); s.Deregister(now, "i-1") },
		"deregistration of an unknown": func(s *beat.Server) { s.Deregister(now, "i-1") },
	} {
		t.Run(name, func(t *testing.T) {
			before := beat.NewServer(options)
			leave(before)
			past, known := before.Snapshot(now)
			require.True(t, known)
			after := beat.NewServer(options)
			require.False(t, after.Restore(now, past, true))
			require.Equal(t, beat.VerdictSuperseded, after.HandleHeartbeat(now, report("i-1", 100, 9)))
			require.Equal(t, beat.StateAbsent, after.State())
			require.Equal(t, beat.VerdictAccepted, after.HandleHeartbeat(now, report("i-2", 200, 1)))
		})
	}
}
