package beat_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

const interval = time.Second

var options = beat.Options{Service: "logboek", Address: "10.0.0.1:80", Interval: interval}

func report(id string, born int64, sequence uint64) beat.Report {
	return beat.Report{ID: id, Service: "logboek", Address: "10.0.0.1:80", Born: time.UnixMilli(born), Sequence: sequence, Slots: 4}
}

// hearing is one heartbeat that comes after a while, and what is expected of it.
type hearing struct {
	after    time.Duration
	report   beat.Report
	draining bool
	verdict  beat.Verdict
	state    beat.State
}

func TestHear(t *testing.T) {
	foreign := report("i-1", 100, 1)
	foreign.Service = "alarm"
	for name, hearings := range map[string][]hearing{
		"first and next": {
			{0, report("i-1", 100, 1), false, beat.VerdictTaken, beat.StateReady},
			{interval, report("i-1", 100, 2), false, beat.VerdictTaken, beat.StateReady},
		},
		"another service": {{0, foreign, false, beat.VerdictForeign, beat.StateAbsent}},
		"overtaken": {
			{0, report("i-1", 100, 5), false, beat.VerdictTaken, beat.StateReady},
			{0, report("i-1", 100, 4), true, beat.VerdictLate, beat.StateReady},
		},
		"restart under the same id counts from one": {
			{0, report("i-1", 100, 9), false, beat.VerdictTaken, beat.StateReady},
			{interval, report("i-1", 200, 1), false, beat.VerdictTaken, beat.StateReady},
			{interval, report("i-1", 100, 10), true, beat.VerdictFormer, beat.StateReady},
		},
		"draining stays": {
			{0, report("i-1", 100, 1), true, beat.VerdictTaken, beat.StateDraining},
			{interval, report("i-1", 100, 2), false, beat.VerdictTaken, beat.StateDraining},
		},
		"the next process after one that left": {
			{0, report("i-1", 100, 1), true, beat.VerdictTaken, beat.StateDraining},
			{interval, report("i-2", 200, 1), false, beat.VerdictTaken, beat.StateReady},
			{0, report("i-1", 100, 2), false, beat.VerdictFormer, beat.StateReady},
		},
		"delayed heartbeat of the one before": {
			{0, report("i-2", 200, 1), false, beat.VerdictTaken, beat.StateReady},
			{0, report("i-1", 100, 7), false, beat.VerdictFormer, beat.StateReady},
		},
		"delayed heartbeat without a birth does not replace one that is heard of": {
			{0, report("i-2", 0, 3), false, beat.VerdictTaken, beat.StateReady},
			{interval, report("i-1", 0, 7), false, beat.VerdictFormer, beat.StateReady},
		},
		"clock set back between two processes": {
			{0, report("i-1", 900, 3), false, beat.VerdictTaken, beat.StateReady},
			{4 * interval, report("i-2", 100, 1), false, beat.VerdictTaken, beat.StateReady},
			{0, report("i-1", 900, 4), false, beat.VerdictTaken, beat.StateReady},
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			server := beat.NewServer(options)
			for _, h := range hearings {
				now = now.Add(h.after)
				h.report.Draining = h.draining
				require.Equal(t, h.verdict, server.Hear(now, h.report), h.report.String())
				require.Equal(t, h.state, server.State(), h.report.String())
			}
		})
	}
}

func TestLeaveConcernsOnlyTheServerThatIsKnown(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.Leave(now, "i-9"))
	server.Hear(now, report("i-1", 100, 1))
	require.False(t, server.Leave(now, "i-0"))
	require.Equal(t, beat.StateReady, server.State())
	require.True(t, server.Leave(now, "i-1"))
	require.Equal(t, beat.StateDraining, server.State())
}

func TestALostServerComesBackWithItsNextHeartbeat(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	server.Hear(now, report("i-1", 100, 1))
	require.False(t, server.Tick(now.Add(3*interval)))
	require.True(t, server.Tick(now.Add(5*interval)))
	require.Equal(t, beat.StateLost, server.State())
	server.Hear(now.Add(6*interval), report("i-1", 100, 2))
	require.Equal(t, beat.StateReady, server.State())
	server.Misplaced("i-1")
	require.Equal(t, beat.StateLost, server.State())
}

// A node that was started anew may receive a deregistration before any heartbeat; a late heartbeat must not bring the server back.
func TestADeregistrationBeforeAnyHeartbeatIsRemembered(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.Leave(now, "i-1"))
	require.Equal(t, beat.VerdictFormer, server.Hear(now, report("i-1", 0, 22)))
	require.Equal(t, beat.StateAbsent, server.State())
	require.Equal(t, beat.VerdictFormer, server.Hear(now, report("i-1", now.Add(-time.Minute).UnixMilli(), 23)))
	require.Equal(t, beat.VerdictTaken, server.Hear(now, report("i-1", now.Add(time.Minute).UnixMilli(), 1)), "a later start under the same ID")
}

// The load is the restart of a node whose backend server runs on; its next heartbeat may be a whole interval away.
func TestARestartedNodeKnowsTheProcessThatAnswers(t *testing.T) {
	now := time.Now()
	before := beat.NewServer(options)
	_, known := before.Past(now)
	require.False(t, known)
	before.Hear(now, report("i-1", 100, 7))
	past, known := before.Past(now)
	require.True(t, known)

	after := beat.NewServer(options)
	require.False(t, after.Resume(now, past, false), "nothing answers, or another process")
	require.Equal(t, beat.StateAbsent, after.State())
	require.True(t, after.Resume(now, past, true))
	require.Equal(t, beat.StateReady, after.State())
	require.Equal(t, beat.VerdictLate, after.Hear(now, report("i-1", 100, 7)))
	require.Equal(t, beat.VerdictTaken, after.Hear(now, report("i-1", 100, 8)))
	require.Equal(t, beat.VerdictTaken, after.Hear(now, report("i-1", 200, 1)))

	heard := beat.NewServer(options)
	heard.Hear(now, report("i-2", 300, 1))
	require.False(t, heard.Resume(now, past, true), "a heartbeat since the restart goes first")
	require.Equal(t, "i-2", heard.Report().ID)
}

// A leaving that was acknowledged binds after a restart too, whatever late heartbeat comes.
func TestARestartedNodeKnowsWhoLeft(t *testing.T) {
	now := time.Now()
	for name, leave := range map[string]func(s *beat.Server){
		"draining": func(s *beat.Server) {
			leaving := report("i-1", 100, 8)
			leaving.Draining = true
			s.Hear(now, leaving)
		},
		"deregistration":               func(s *beat.Server) { s.Hear(now, report("i-1", 100, 8)); s.Leave(now, "i-1") },
		"deregistration of an unknown": func(s *beat.Server) { s.Leave(now, "i-1") },
	} {
		t.Run(name, func(t *testing.T) {
			before := beat.NewServer(options)
			leave(before)
			past, known := before.Past(now)
			require.True(t, known)
			after := beat.NewServer(options)
			require.False(t, after.Resume(now, past, true))
			require.Equal(t, beat.VerdictFormer, after.Hear(now, report("i-1", 100, 9)))
			require.Equal(t, beat.StateAbsent, after.State())
			require.Equal(t, beat.VerdictTaken, after.Hear(now, report("i-2", 200, 1)))
		})
	}
}
