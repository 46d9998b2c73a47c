package crash_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/crash"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// fakeService implements kernel.Service for the fakes that embed it.
type fakeService struct{ name string }

func (s fakeService) String() string { return s.name }

func (fakeService) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return make(chan error), nil
}

func (fakeService) Stop(context.Context) error { return nil }

// fakeTable keeps rows in memory.
type fakeTable struct {
	fakeService
	mu   sync.Mutex
	rows map[string][]byte
}

func (*fakeTable) Era() (uint64, <-chan struct{}) { return 0, nil }

func (f *fakeTable) Put(_ context.Context, key string, value []byte, _ string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows[key] = value

	return "", nil
}

func (f *fakeTable) Delete(_ context.Context, key, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rows, key)

	return nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string) ([]store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []store.Row
	for key, value := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, store.Row{Key: key, Value: value})
		}
	}

	return rows, nil
}

func (f *fakeTable) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.rows)
}

// fakeFleet is a fleet without other nodes; receiver serves the calls of others.
type fakeFleet struct {
	fakeService
	receiver *crash.Receiver
}

func (f *fakeFleet) Register(_ string, receiver any) error {
	f.receiver, _ = receiver.(*crash.Receiver)

	return nil
}

func (*fakeFleet) Call(context.Context, string, string, any, any) error { return nil }

func (*fakeFleet) Members(string) []member.Entry { return nil }

func (*fakeFleet) Self() member.Entry { return member.Entry{ID: "node-1"} }

// start starts the service of a node beside the table, and returns it with what serves the calls of other nodes.
func start(t *testing.T, table *fakeTable) (*crash.Crashes, *crash.Receiver) {
	t.Helper()
	crashes, control := crash.New("logboek", slog.New(slog.DiscardHandler)), &fakeFleet{fakeService: fakeService{"control"}}
	k := kernel.New(slog.New(slog.DiscardHandler))
	for _, service := range []kernel.Service{table, control, &fakeFleet{fakeService: fakeService{"gossip"}}, crashes} {
		require.NoError(t, k.Register(service))
	}
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, started.Stop(context.Background())) })

	return crashes, control.receiver
}

var fatalID = fatal.Request{Method: "GET", URI: "/fatal"}.ID()

func TestKnownRequestIsReadAgainAfterAClockStep(t *testing.T) {
	t.Parallel()
	row := func(age time.Duration) []byte {
		return []byte(`{"processes":["a","b","c"],"at":"` + time.Now().Add(-age).Format(time.RFC3339) + `"}`)
	}
	for name, test := range map[string]struct {
		row  []byte
		want fatal.Verdict
		left int
	}{
		"written now":                 {row(0), fatal.VerdictKnown, 1},
		"clock set forward since":     {row(40 * time.Minute), fatal.VerdictKnown, 1},
		"clock set back since":        {row(-40 * time.Minute), fatal.VerdictKnown, 1},
		"days old":                    {row(48 * time.Hour), fatal.VerdictClean, 0},
		"cannot be read":              {[]byte("{"), fatal.VerdictClean, 1},
		"more processes than allowed": {[]byte(`{"processes":["a","b","c","d"],"at":"` + time.Now().Format(time.RFC3339) + `"}`), fatal.VerdictClean, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := &fakeTable{fakeService: fakeService{store.Name}, rows: map[string][]byte{"fatal/logboek/" + fatalID.String(): test.row}}
			crashes, _ := start(t, table)
			if test.want == fatal.VerdictKnown {
				require.Eventually(t, func() bool { return crashes.Verdict(time.Now(), fatalID) == test.want }, time.Second, time.Millisecond)
			} else {
				require.Never(t, func() bool { return crashes.Verdict(time.Now(), fatalID) != test.want }, 200*time.Millisecond, 10*time.Millisecond)
			}
			require.Equal(t, test.left, table.count())
		})
	}
}

func TestRowIsRemovedOnceTheRequestGetsAResponse(t *testing.T) {
	t.Parallel()
	for name, clearRequest := range map[string]func(crashes *crash.Crashes, receiver *crash.Receiver){
		"at this node":    func(crashes *crash.Crashes, _ *crash.Receiver) { crashes.RecordResponse(fatalID) },
		"at another node": func(_ *crash.Crashes, receiver *crash.Receiver) { _ = receiver.Clear([]fatal.ID{fatalID}, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := &fakeTable{fakeService: fakeService{store.Name}, rows: map[string][]byte{}}
			crashes, receiver := start(t, table)
			for _, process := range []string{"i-1", "i-2"} {
				require.NoError(t, receiver.Record(crash.Crash{Process: process, Requests: []fatal.ID{fatalID}}, nil))
			}
			crashes.RecordCrash(t.Context(), "i-3", []fatal.ID{fatalID})
			require.Equal(t, fatal.VerdictKnown, crashes.Verdict(time.Now(), fatalID))
			require.Eventually(t, func() bool { return table.count() == 1 }, time.Second, time.Millisecond)
			clearRequest(crashes, receiver)
			require.Eventually(t, func() bool { return table.count() == 0 && !crashes.Active() }, time.Second, time.Millisecond)
		})
	}
}
