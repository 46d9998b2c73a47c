package fake_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
)

const archiveBytes = 300_000

func routes() []fake.Route {
	return []fake.Route{
		{Method: http.MethodGet, Prefix: "/reading", Work: time.Millisecond, Bytes: 1000},
		{Method: http.MethodGet, Prefix: "/slow", Work: time.Minute, Bytes: 10},
		{Method: http.MethodGet, Prefix: "/archive", Bytes: archiveBytes, Archive: true},
		{Method: http.MethodGet, Prefix: "/deep", Work: time.Millisecond, Bytes: 20, Hops: []fake.Hop{
			{Service: "logboek", Method: http.MethodGet, Path: "/reading/9", Bytes: 1000},
		}},
	}
}

func start(t *testing.T, behaviour fake.Behaviour) *fake.Server {
	t.Helper()
	s, clean, err := fake.New(context.Background(), fake.Options{Service: "logboek", Seed: 1, Routes: routes()}, behaviour)
	require.NoError(t, err)
	t.Cleanup(clean)

	return s
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func get(ctx context.Context, s *fake.Server, path string, headers ...string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+path, http.NoBody)
	if err != nil {
		return reply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, header: response.Header, body: body}, err
}

func TestAnswerIsDerivedFromTheRequest(t *testing.T) {
	s := start(t, fake.Behaviour{Slots: 2})
	got, err := get(t.Context(), s, "/reading/7?request=a", "Idempotency-Key", "k1", "Pistachiotack-Operation", "op1")
	require.NoError(t, err)
	require.Equal(t, fake.Body(fake.Seed(http.MethodGet, "/reading/7?request=a", nil), 1000), got.body)
	require.NotEqual(t, fake.Body(fake.Seed(http.MethodGet, "/reading/7?request=b", nil), 1000), got.body)
	require.Equal(t, 1, s.Ledger().KeyRuns("k1"))
	require.Equal(t, 1, s.Ledger().OperationRuns("op1"))
	require.Equal(t, 1, s.Ledger().Request("a").RootRuns)
	require.Zero(t, s.Ledger().RepeatedKeys("k"))
	require.Equal(t, "0.000", got.header.Get("Pistachiotack-Load"))
}

func TestArchiveResumesByRange(t *testing.T) {
	s := start(t, fake.Behaviour{Slots: 2})
	whole, err := get(t.Context(), s, "/archive/x?request=a")
	require.NoError(t, err)
	tag := fake.ArchiveTag("/archive/x", archiveBytes)
	require.Equal(t, tag, whole.header.Get("ETag"))

	rest, err := get(t.Context(), s, "/archive/x?request=a", "Range", "bytes=100001-", "If-Range", tag)
	require.NoError(t, err)
	require.Equal(t, http.StatusPartialContent, rest.status)
	require.Equal(t, whole.body[100_001:], rest.body)
	length, right, err := fake.Verify(bytes.NewReader(rest.body), fake.ArchiveSeed("/archive/x"), 100_001)
	require.NoError(t, err)
	require.True(t, right)
	require.EqualValues(t, archiveBytes-100_001, length)

	other, err := get(t.Context(), s, "/archive/x?request=a", "Range", "bytes=5-", "If-Range", `"other"`)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, other.status)
	require.Equal(t, whole.body, other.body)
}

func TestShedsBeyondSlotsAndQueue(t *testing.T) {
	s := start(t, fake.Behaviour{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := get(ctx, s, "/slow?request=a")
		ended <- err
	}()
	require.Eventually(t, func() bool { return s.Ledger().Totals().Runs == 1 }, 5*time.Second, time.Millisecond)

	got, err := get(t.Context(), s, "/reading/1?request=b")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "notRun", got.header.Get("Pistachiotack-Outcome"))
	require.Zero(t, s.Ledger().Request("b").Runs)

	cancel()
	require.Error(t, <-ended)
	require.Eventually(t, func() bool { return s.Ledger().Totals().Cancelled == 1 }, 5*time.Second, time.Millisecond)
	got, err = get(t.Context(), s, "/reading/1?request=c")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.status)
}

func TestHonoursDeadline(t *testing.T) {
	s := start(t, fake.Behaviour{Slots: 1})
	got, err := get(t.Context(), s, "/slow?request=a", "Pistachiotack-Timeout", "20ms")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
}

func TestSwitchedBehaviour(t *testing.T) {
	cases := map[string]struct {
		behaviour string
		status    int
		header    string
		value     string
	}{
		"failFast": {behaviour: `{"failShare":1}`, status: http.StatusInternalServerError},
		"drain":    {behaviour: `{"draining":true}`, status: http.StatusOK, header: "Pistachiotack-Draining", value: "true"},
		"lie":      {behaviour: `{"lie":true,"lieLoad":0.9}`, status: http.StatusOK, header: "Pistachiotack-Load", value: "0.900"},
		"slow":     {behaviour: `{"slow":100000}`, status: http.StatusGatewayTimeout},
		"cold":     {behaviour: `{"coldFactor":100000,"coldTime":"1h"}`, status: http.StatusGatewayTimeout},
		"silent":   {behaviour: `{"silent":true}`, status: http.StatusGatewayTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := start(t, fake.Behaviour{Slots: 4, Waiting: 4})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPut,
				"http://"+s.Address()+"/_fake/behaviour", strings.NewReader(c.behaviour))
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, 4, s.Behaviour().Slots)

			got, err := get(t.Context(), s, "/reading/1?request=a", "Pistachiotack-Timeout", "200ms")
			require.NoError(t, err)
			require.Equal(t, c.status, got.status)
			if c.header != "" {
				require.Equal(t, c.value, got.header.Get(c.header))
			}
		})
	}
}

func TestNaiveCallerRetriesOnTheNextServer(t *testing.T) {
	broken := start(t, fake.Behaviour{Slots: 1, FailShare: 1})
	good := start(t, fake.Behaviour{Slots: 1})
	naive := fake.NewNaive(time.Second, 3)
	naive.SetTargets("logboek", []string{broken.Address(), good.Address()})
	front := start(t, fake.Behaviour{Slots: 1})
	front.SetCaller(naive)
	for range 4 {
		got, err := get(t.Context(), front, "/deep/1?request=a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.status)
	}
	require.Positive(t, broken.Ledger().Totals().Failed)
	require.Equal(t, 4, good.Ledger().Totals().Answered)
}
