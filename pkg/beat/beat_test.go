package beat_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

const interval = time.Second

var options = beat.Options{Service: "logboek", Address: "10.0.0.1:80", Interval: interval}

func heartbeat(id string, startedAt int64, sequence uint64) beat.Heartbeat {
	return beat.Heartbeat{ID: id, Service: "logboek", Address: "10.0.0.1:80", StartedAt: time.UnixMilli(startedAt), Sequence: sequence, Slots: 4}
}

// delivery is a heartbeat that arrives some time after the previous one, with the expected verdict and state.
type delivery struct {
	after     time.Duration
	heartbeat beat.Heartbeat
	draining  bool
	verdict   beat.Verdict
	state     beat.State
}

func TestHandleHeartbeat(t *testing.T) {
	otherService := heartbeat("i-1", 100, 1)
	otherService.Service = "alarm"
	for name, deliveries := range map[string][]delivery{
		"consecutive heartbeats": {
			{0, heartbeat("i-1", 100, 1), false, beat.VerdictAccepted, beat.StateReady},
			{interval, heartbeat("i-1", 100, 2), false, beat.VerdictAccepted, beat.StateReady},
		},
		"another service": {{0, otherService, false, beat.VerdictWrongServer, beat.StateAbsent}},
		"out of order": {
			{0, heartbeat("i-1", 100, 5), false, beat.VerdictAccepted, beat.StateReady},
			{0, heartbeat("i-1", 100, 4), true, beat.VerdictOutOfOrder, beat.StateReady},
		},
		"sequence restarts with the process": {
			{0, heartbeat("i-1", 100, 9), false, beat.VerdictAccepted, beat.StateReady},
			{interval, heartbeat("i-1", 200, 1), false, beat.VerdictAccepted, beat.StateReady},
			{interval, heartbeat("i-1", 100, 10), true, beat.VerdictSuperseded, beat.StateReady},
		},
		"draining is final for a process": {
			{0, heartbeat("i-1", 100, 1), true, beat.VerdictAccepted, beat.StateDraining},
			{interval, heartbeat("i-1", 100, 2), false, beat.VerdictAccepted, beat.StateDraining},
		},
		"new process after one that drained": {
			{0, heartbeat("i-1", 100, 1), true, beat.VerdictAccepted, beat.StateDraining},
			{interval, heartbeat("i-2", 200, 1), false, beat.VerdictAccepted, beat.StateReady},
			{0, heartbeat("i-1", 100, 2), false, beat.VerdictSuperseded, beat.StateReady},
		},
		"late heartbeat of the previous process": {
			{0, heartbeat("i-2", 200, 1), false, beat.VerdictAccepted, beat.StateReady},
			{0, heartbeat("i-1", 100, 7), false, beat.VerdictSuperseded, beat.StateReady},
		},
		"late heartbeat without a start time": {
			{0, heartbeat("i-2", 0, 3), false, beat.VerdictAccepted, beat.StateReady},
			{interval, heartbeat("i-1", 0, 7), false, beat.VerdictSuperseded, beat.StateReady},
		},
		"clock set back between two starts": {
			{0, heartbeat("i-1", 900, 3), false, beat.VerdictAccepted, beat.StateReady},
			{4 * interval, heartbeat("i-2", 100, 1), false, beat.VerdictAccepted, beat.StateReady},
			{0, heartbeat("i-1", 900, 4), false, beat.VerdictAccepted, beat.StateReady},
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			server := beat.NewServer(options)
			for _, delivery := range deliveries {
				now = now.Add(delivery.after)
				delivery.heartbeat.Draining = delivery.draining
				require.Equal(t, delivery.verdict, server.HandleHeartbeat(now, delivery.heartbeat), delivery.heartbeat.String())
				require.Equal(t, delivery.state, server.State(), delivery.heartbeat.String())
			}
		})
	}
}

// A heartbeat of another writer names the server, but not the start of its process.
func TestHeartbeatWithoutAStartDoesNotBringBackAServerThatLeft(t *testing.T) {
	unstarted := heartbeat("i-1", 100, 9)
	unstarted.StartedAt = time.Time{}
	for name, leave := range map[string]func(s *beat.Server, now time.Time){
		"deregistered": func(s *beat.Server, now time.Time) { require.True(t, s.Deregister(now, "i-1")) },
		"draining": func(s *beat.Server, now time.Time) {
			draining := heartbeat("i-1", 100, 2)
			draining.Draining = true
			require.Equal(t, beat.VerdictAccepted, s.HandleHeartbeat(now, draining))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := beat.NewServer(options)
			now := time.Now()
			require.Equal(t, beat.VerdictAccepted, s.HandleHeartbeat(now, heartbeat("i-1", 100, 1)))
			leave(s, now)
			require.Equal(t, beat.VerdictIncomplete, s.HandleHeartbeat(now.Add(10*interval), unstarted))
			require.Equal(t, beat.StateDraining, s.State())
		})
	}
	s := beat.NewServer(options)
	require.Equal(t, beat.VerdictAccepted, s.HandleHeartbeat(time.Now(), unstarted), "a server that never states its start")
}

func TestDeregisterIgnoresOtherProcesses(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.Deregister(now, "i-9"))
	server.HandleHeartbeat(now, heartbeat("i-1", 100, 1))
	require.False(t, server.Deregister(now, "i-0"))
	require.Equal(t, beat.StateReady, server.State())
	require.True(t, server.Deregister(now, "i-1"))
	require.Equal(t, beat.StateDraining, server.State())
}

func TestLostServerIsReadyAfterNextHeartbeat(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	server.HandleHeartbeat(now, heartbeat("i-1", 100, 1))
	require.False(t, server.Tick(now.Add(3*interval)))
	require.True(t, server.Tick(now.Add(5*interval)))
	require.Equal(t, beat.StateLost, server.State())
	server.HandleHeartbeat(now.Add(6*interval), heartbeat("i-1", 100, 2))
	require.Equal(t, beat.StateReady, server.State())
	server.HandleWrongProcess("i-1")
	require.Equal(t, beat.StateLost, server.State())
}

// A restarted node may receive a deregistration before any heartbeat; a late heartbeat must not make the server ready again.
func TestDeregistrationBeforeFirstHeartbeatIsKept(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.Deregister(now, "i-1"))
	require.Equal(t, beat.VerdictSuperseded, server.HandleHeartbeat(now, heartbeat("i-1", 0, 22)))
	require.Equal(t, beat.StateAbsent, server.State())
	require.Equal(t, beat.VerdictSuperseded, server.HandleHeartbeat(now, heartbeat("i-1", now.Add(-time.Minute).UnixMilli(), 23)))
	require.Equal(t, beat.VerdictAccepted, server.HandleHeartbeat(now, heartbeat("i-1", now.Add(time.Minute).UnixMilli(), 1)), "a later start under the same ID")
}

// The node restarts while its backend server keeps running. The next heartbeat may be a whole interval away, so the server must be
// ready from the snapshot.
func TestRestoreAfterNodeRestart(t *testing.T) {
	now := time.Now()
	before := beat.NewServer(options)
	_, found := before.Snapshot(now)
	require.False(t, found)
	before.HandleHeartbeat(now, heartbeat("i-1", 100, 7))
	snapshot, found := before.Snapshot(now)
	require.True(t, found)

	after := beat.NewServer(options)
	require.False(t, after.Restore(now, snapshot, false), "no response, or from another process")
	require.Equal(t, beat.StateAbsent, after.State())
	require.True(t, after.Restore(now, snapshot, true))
	require.Equal(t, beat.StateReady, after.State())
	require.Equal(t, beat.VerdictOutOfOrder, after.HandleHeartbeat(now, heartbeat("i-1", 100, 7)))
	require.Equal(t, beat.VerdictAccepted, after.HandleHeartbeat(now, heartbeat("i-1", 100, 8)))
	require.Equal(t, beat.VerdictAccepted, after.HandleHeartbeat(now, heartbeat("i-1", 200, 1)))

	restarted := beat.NewServer(options)
	restarted.HandleHeartbeat(now, heartbeat("i-2", 300, 1))
	require.False(t, restarted.Restore(now, snapshot, true), "a heartbeat since the restart takes precedence")
	require.Equal(t, "i-2", restarted.LastHeartbeat().ID)
}

// A node that has acknowledged that a server is leaving must not make it ready after a restart, whichever late heartbeats arrive.
func TestRestoreKeepsDeregistration(t *testing.T) {
	now := time.Now()
	for name, leave := range map[string]func(s *beat.Server){
		"draining": func(s *beat.Server) {
			draining := heartbeat("i-1", 100, 8)
			draining.Draining = true
			s.HandleHeartbeat(now, draining)
		},
		"deregistration":                      func(s *beat.Server) { s.HandleHeartbeat(now, heartbeat("i-1", 100, 8)); s.Deregister(now, "i-1") },
		"deregistration before any heartbeat": func(s *beat.Server) { s.Deregister(now, "i-1") },
	} {
		t.Run(name, func(t *testing.T) {
			before := beat.NewServer(options)
			leave(before)
			snapshot, found := before.Snapshot(now)
			require.True(t, found)
			after := beat.NewServer(options)
			require.False(t, after.Restore(now, snapshot, true))
			require.Equal(t, beat.VerdictSuperseded, after.HandleHeartbeat(now, heartbeat("i-1", 100, 9)))
			require.Equal(t, beat.StateAbsent, after.State())
			require.Equal(t, beat.VerdictAccepted, after.HandleHeartbeat(now, heartbeat("i-2", 200, 1)))

			late := beat.NewServer(options)
			require.Equal(t, beat.VerdictAccepted, late.HandleHeartbeat(now, heartbeat("i-1", 100, 9)), "nothing is known of the leaving yet")
			require.False(t, late.Restore(now, snapshot, true))
			require.Equal(t, beat.StateDraining, late.State())

			replaced := beat.NewServer(options)
			require.Equal(t, beat.VerdictAccepted, replaced.HandleHeartbeat(now, heartbeat("i-1", now.Add(time.Minute).UnixMilli(), 1)))
			require.False(t, replaced.Restore(now, snapshot, true))
			require.Equal(t, beat.StateReady, replaced.State(), "another process under the same ID")
		})
	}
}

// A late response of the process before must not limit the one that has taken its address.
func TestRateLimitBelongsToOneProcess(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.HandleRateLimit("i-1", rate.PerSecond(5)), "before any heartbeat")
	server.HandleHeartbeat(now, heartbeat("i-1", 100, 1))
	require.True(t, server.HandleRateLimit("i-1", rate.PerSecond(5)))
	require.False(t, server.HandleRateLimit("i-1", rate.PerSecond(5)))
	server.HandleHeartbeat(now, heartbeat("i-1", 100, 2))
	require.Equal(t, rate.PerSecond(5), server.RateLimit())
	server.HandleHeartbeat(now, heartbeat("i-2", 200, 1))
	require.Equal(t, rate.Limit{}, server.RateLimit())
	require.False(t, server.HandleRateLimit("i-1", rate.PerSecond(5)))
	require.Equal(t, rate.Limit{}, server.RateLimit())
}

func TestRateLimitSurvivesRestartOfTheNode(t *testing.T) {
	now := time.Now()
	before := beat.NewServer(options)
	before.HandleHeartbeat(now, heartbeat("i-1", 100, 7))
	before.HandleRateLimit("i-1", rate.PerSecond(5))
	snapshot, found := before.Snapshot(now)
	require.True(t, found)
	for name, earlier := range map[string][]beat.Heartbeat{"no heartbeat since": nil, "a heartbeat since": {heartbeat("i-1", 100, 8)}} {
		t.Run(name, func(t *testing.T) {
			after := beat.NewServer(options)
			for _, received := range earlier {
				after.HandleHeartbeat(now, received)
			}
			after.Restore(now, snapshot, true)
			require.Equal(t, rate.PerSecond(5), after.RateLimit())
		})
	}
}

func TestLeavingStatedInAResponse(t *testing.T) {
	now := time.Now()
	server := beat.NewServer(options)
	require.False(t, server.HandleLeaving("i-1"), "before any heartbeat")
	server.HandleHeartbeat(now, heartbeat("i-1", 100, 1))
	require.False(t, server.HandleLeaving("i-0"), "a late response of the process before")
	require.Equal(t, beat.StateReady, server.State())
	require.True(t, server.HandleLeaving("i-1"))
	server.HandleHeartbeat(now, heartbeat("i-1", 100, 2))
	require.Equal(t, beat.StateDraining, server.State(), "heartbeats that still say ready")
	require.False(t, server.HandleLeaving("i-1"))
	snapshot, found := server.Snapshot(now)
	require.True(t, found)
	require.True(t, snapshot.Left)
	server.HandleHeartbeat(now, heartbeat("i-2", 200, 1))
	require.False(t, server.HandleLeaving("i-1"))
	require.Equal(t, beat.StateReady, server.State())
}
