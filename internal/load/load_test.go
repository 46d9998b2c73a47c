package load_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func phases(rate float64, each time.Duration) []load.Phase {
	return []load.Phase{
		{Name: "before", Time: each, Rate: rate},
		{Name: "during", Time: each, Rate: rate},
		{Name: "after", Time: 4 * each, Rate: rate},
	}
}

func manners(manner load.Manner) []load.Manner {
	return []load.Manner{manner, manner, manner}
}

func one(once bool) load.Example {
	return load.Example{
		Name: "one", Scale: 1, DataCentres: []string{"a"},
		Services: []load.Service{{Name: "logboek", Targets: 1, Slots: 64}},
		Kinds: []load.Kind{{
			Name: "reading", Service: "logboek", Method: http.MethodPost, Path: "/cells/%d", Share: 1,
			Class: call.ClassVital, Once: once, Bytes: 100, Work: time.Millisecond, Deadline: time.Second,
		}},
	}
}

func TestRunWithoutLayer(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"rijksbureau", "vysocina"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			example, err := load.FindExample(name)
			require.NoError(t, err)
			ledger := fake.NewLedger()
			backends, clean, err := load.StartBackends(t.Context(), example, ledger, 1)
			require.NoError(t, err)
			t.Cleanup(clean)

			report, err := load.Run(t.Context(), load.Plan{
				Name: "calm", Variant: "none", Seed: 1, Example: example, Prefix: name,
				Phases: phases(60, 250*time.Millisecond), Manners: manners(load.MannerNaive),
				Picker: load.NewDirect(backends), Ledger: ledger,
			})
			require.NoError(t, err)
			require.Zero(t, report.Violations.Sum())
			offered, good := 0, 0
			for _, kind := range report.Kinds {
				offered += kind.Offered
				good += kind.Good
			}
			require.Positive(t, offered)
			require.Equal(t, offered, good)
			require.GreaterOrEqual(t, report.Attempts.Mean, 1.0)
			require.Equal(t, ledger.Totals().Answered+archives(report), ledger.Totals().Runs)

			var table bytes.Buffer
			require.NoError(t, report.WriteTable(&table))
			require.Contains(t, table.String(), "slots at 1/10")
		})
	}
}

// archives counts the answers that end outside the server's handler.
func archives(report *load.Report) int {
	sum := 0
	for _, kind := range report.Kinds {
		if kind.Kind == "archive" || kind.Kind == "drawing" {
			sum += kind.Good
		}
	}

	return sum
}

func TestEveryAnswerIsJudged(t *testing.T) {
	t.Parallel()
	right := func(r *http.Request) []byte {
		return fake.Body(fake.Seed(r.Method, r.URL.RequestURI(), nil), 100)
	}
	cases := map[string]struct {
		answer http.HandlerFunc
		check  func(*testing.T, *load.Report)
	}{
		"right": {
			answer: func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(right(r)) },
			check: func(t *testing.T, r *load.Report) {
				require.Equal(t, r.Phases[0].Offered, r.Phases[0].Good)
			},
		},
		"foreign": {
			answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(fake.Body(7, 100)) },
			check:  func(t *testing.T, r *load.Report) { require.Positive(t, r.Violations.Wrong) },
		},
		"torn with a clean end": {
			answer: func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(right(r)[:60]) },
			check:  func(t *testing.T, r *load.Report) { require.Positive(t, r.Violations.Torn) },
		},
		"cut with an error": {
			answer: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write(right(r)[:60])
				panic(http.ErrAbortHandler)
			},
			check: func(t *testing.T, r *load.Report) {
				require.Zero(t, r.Violations.Sum())
				require.Equal(t, r.Phases[0].Offered, r.Kinds[0].Cut)
			},
		},
		"ticket": {
			answer: func(w http.ResponseWriter, r *http.Request) {
				if original, found := strings.CutPrefix(r.URL.Path, "/ticket"); found {
					r.URL.Path = original
					_, _ = w.Write(right(r))

					return
				}
				w.Header().Set("Location", "/ticket"+r.URL.RequestURI())
				w.WriteHeader(http.StatusTemporaryRedirect)
			},
			check: func(t *testing.T, r *load.Report) {
				require.Equal(t, r.Phases[0].Offered, r.Phases[0].Good)
			},
		},
		"refused": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Pistachiotack-Outcome", "notRun")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"reason":"overload"}`))
			},
			check: func(t *testing.T, r *load.Report) {
				require.Equal(t, "overload", r.Refusals[0].Reason)
				require.Equal(t, call.OutcomeNotRun, r.Refusals[0].Outcome)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewUnstartedServer(c.answer)
			server.Config.ErrorLog = nil
			server.Start()
			t.Cleanup(server.Close)
			report, err := load.Run(t.Context(), load.Plan{
				Seed: 1, Example: one(false), Prefix: "t", Picker: load.Entries{server.Listener.Addr().String()},
				Phases: phases(100, 250*time.Millisecond)[:1], Manners: manners(load.MannerOnce)[:1],
			})
			require.NoError(t, err)
			c.check(t, report)
		})
	}
}

func TestBrokenPromisesAreCounted(t *testing.T) {
	t.Parallel()
	ledger := fake.NewLedger()
	example := one(true)
	backends, clean, err := load.StartBackends(t.Context(), example, ledger, 1)
	require.NoError(t, err)
	t.Cleanup(clean)
	// A layer that runs each request twice and says that it was not run.
	liar := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 2 {
			out, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+backends[0].Server.Address()+r.URL.RequestURI(), http.NoBody)
			out.Header = r.Header.Clone()
			if response, err := http.DefaultClient.Do(out); err == nil {
				_ = response.Body.Close()
			}
		}
		w.Header().Set("Pistachiotack-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(liar.Close)
	report, err := load.Run(t.Context(), load.Plan{
		Seed: 1, Example: example, Prefix: "liar", Picker: load.Entries{liar.Listener.Addr().String()}, Ledger: ledger,
		Phases: phases(100, 250*time.Millisecond)[:1], Manners: manners(load.MannerOnce)[:1],
	})
	require.NoError(t, err)
	require.Equal(t, report.Phases[0].Offered, report.Violations.NotRunThatRan)
	require.Equal(t, report.Phases[0].Offered, report.Violations.RepeatedKeys)
	require.Equal(t, 2, report.Attempts.Max)
	require.InDelta(t, 1, report.WastedShare, 1e-9)
}

func TestRecoveryIsMeasuredFromTheEndOfTheTrigger(t *testing.T) {
	t.Parallel()
	ledger := fake.NewLedger()
	example := one(false)
	backends, clean, err := load.StartBackends(t.Context(), example, ledger, 1)
	require.NoError(t, err)
	t.Cleanup(clean)
	report, err := load.Run(t.Context(), load.Plan{
		Seed: 1, Example: example, Prefix: "fault", Picker: load.NewDirect(backends), Ledger: ledger,
		Phases: phases(100, 750*time.Millisecond), Manners: manners(load.MannerOnce),
		Begin: func(phase int) {
			backends[0].Server.Change(func(b *fake.Behaviour) { b.FailShare = float64(phase % 2) })
		},
	})
	require.NoError(t, err)
	require.Zero(t, report.Phases[1].Good)
	require.True(t, report.Recovered)
	require.LessOrEqual(t, report.Recovery, time.Second)
}

func TestCapacityIsBoundByTheNarrowestService(t *testing.T) {
	t.Parallel()
	example, err := load.FindExample("rijksbureau")
	require.NoError(t, err)
	rate, service := example.Capacity()
	require.Equal(t, "logboek", service)
	require.Positive(t, rate)
	_, err = load.FindExample("other")
	require.ErrorIs(t, err, load.ErrUnknownExample)
	_, err = load.Run(t.Context(), load.Plan{})
	require.ErrorIs(t, err, load.ErrPlan)
}
