package fatal_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/fatal"
)

func id(uri string) fatal.ID {
	return fatal.Request{Method: "GET", Host: "a", URI: uri}.ID()
}

func TestIDTellsRequestsApart(t *testing.T) {
	t.Parallel()
	request := fatal.Request{Method: "GET", Host: "a.example", URI: "/b?c", Credentials: "d", Body: []byte("e")}
	require.Equal(t, request.ID(), request.ID())
	for name, other := range map[string]fatal.Request{
		"method":                 {Method: "POST", Host: "a.example", URI: "/b?c", Credentials: "d", Body: []byte("e")},
		"query":                  {Method: "GET", Host: "a.example", URI: "/b?d", Credentials: "d", Body: []byte("e")},
		"caller":                 {Method: "GET", Host: "a.example", URI: "/b?c", Credentials: "x", Body: []byte("e")},
		"body":                   {Method: "GET", Host: "a.example", URI: "/b?c", Credentials: "d", Body: []byte("f")},
		"no body":                {Method: "GET", Host: "a.example", URI: "/b?c", Credentials: "d"},
		"bytes in another part":  {Method: "GET", Host: "a.example/b", URI: "?c", Credentials: "d", Body: []byte("e")},
		"bytes in another part2": {Method: "GET", Host: "a.example", URI: "/b?cd", Body: []byte("e")},
	} {
		require.NotEqual(t, request.ID(), other.ID(), name)
	}
	parsed, err := fatal.ParseID(request.ID().String())
	require.NoError(t, err)
	require.Equal(t, request.ID(), parsed)
	for _, text := range []string{"", "00", "zz" + request.ID().String()[2:], request.ID().String() + "00"} {
		_, err = fatal.ParseID(text)
		require.ErrorIs(t, err, fatal.ErrID)
	}
}

func TestRequestIsKnownAfterThreeCrashes(t *testing.T) {
	t.Parallel()
	now := time.Now()
	table := fatal.NewTable()
	require.Equal(t, fatal.VerdictClean, table.Verdict(now, id("/1")))
	for i, want := range []fatal.Verdict{fatal.VerdictSuspect, fatal.VerdictSuspect, fatal.VerdictKnown} {
		beside := []fatal.ID{id("/1"), id(fmt.Sprintf("/beside-%d", i))}
		known := table.RecordCrash(now, fmt.Sprintf("i-%d", i), beside)
		require.Equal(t, want, table.Verdict(now, id("/1")))
		require.Equal(t, fatal.VerdictSuspect, table.Verdict(now, beside[1]))
		require.Len(t, known, i/2)
	}
	require.Empty(t, table.RecordCrash(now, "i-3", []fatal.ID{id("/1")}), "known already")

	later := now.Add(fatal.QuarantineTime)
	require.Equal(t, fatal.VerdictSuspect, table.Verdict(later, id("/1")), "has its chance again")
	require.Len(t, table.RecordCrash(later, "i-4", []fatal.ID{id("/1")}), 1, "one more crash is enough")
	require.True(t, table.RecordResponse(id("/1")))
	require.Equal(t, fatal.VerdictClean, table.Verdict(later, id("/1")))
}

func TestCrashesThatDoNotAccuse(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for name, play := range map[string]func(table *fatal.Table, round int){
		"the same process": func(table *fatal.Table, _ int) { table.RecordCrash(now, "i-1", []fatal.ID{id("/1")}) },
		"a response in between": func(table *fatal.Table, round int) {
			table.RecordCrash(now, fmt.Sprintf("i-%d", round), []fatal.ID{id("/1")})
			if round%2 == 1 {
				table.RecordResponse(id("/1"))
			}
		},
		"far apart": func(table *fatal.Table, round int) {
			at := now.Add(time.Duration(round) * 11 * time.Minute)
			table.Expire(at)
			table.RecordCrash(at, fmt.Sprintf("i-%d", round), []fatal.ID{id("/1")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := fatal.NewTable()
			for round := range 20 {
				play(table, round)
				require.NotEqual(t, fatal.VerdictKnown, table.Verdict(now, id("/1")))
			}
		})
	}
}

func TestMergeMakesARequestKnownAtOtherNodes(t *testing.T) {
	t.Parallel()
	now := time.Now()
	first, second := fatal.NewTable(), fatal.NewTable()
	first.RecordCrash(now, "i-1", []fatal.ID{id("/1"), id("/2")})
	first.RecordCrash(now, "i-2", []fatal.ID{id("/1")})
	second.RecordCrash(now, "i-3", []fatal.ID{id("/1")})
	require.Len(t, first.Entries(now), 1, "one crash is not passed on")
	second.Merge(now, first.Entries(now))
	require.Equal(t, fatal.VerdictKnown, second.Verdict(now, id("/1")))
	second.Merge(now, first.Entries(now))
	require.Len(t, second.Entries(now)[0].Processes, 3)
	second.Merge(now, []fatal.Entry{{ID: id("/3"), Processes: []string{"a", "b", "c", "d"}}, {ID: id("/4"), Processes: []string{"a"}, Age: -time.Hour}, {ID: id("/5"), Processes: []string{"a"}, Age: 99 * time.Hour}})
	for _, uri := range []string{"/3", "/4", "/5"} {
		require.Equal(t, fatal.VerdictClean, second.Verdict(now, id(uri)), "entry out of bounds")
	}
	known := second.Entries(now.Add(fatal.QuarantineTime - time.Second))
	third := fatal.NewTable()
	third.Merge(now, known)
	require.Equal(t, fatal.VerdictKnown, third.Verdict(now, id("/1")))
	require.Equal(t, fatal.VerdictSuspect, third.Verdict(now.Add(2*time.Second), id("/1")), "the age is passed on")
}

// An attacker would have to crash servers to add entries, and known ones stay.
func TestFullTableKeepsWhatIsKnown(t *testing.T) {
	t.Parallel()
	now := time.Now()
	table := fatal.NewTable()
	for i := range 3 {
		table.RecordCrash(now, fmt.Sprintf("i-%d", i), []fatal.ID{id("/1")})
	}
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		table.RecordCrash(now, fmt.Sprintf("j-%d", i), []fatal.ID{id(fmt.Sprintf("/other-%d", i))})
	}
	require.Equal(t, fatal.VerdictKnown, table.Verdict(now, id("/1")))
	require.Equal(t, fatal.VerdictClean, table.Verdict(now, id("/other-0")))
	require.Equal(t, fatal.VerdictSuspect, table.Verdict(now, id("/other-4999")))
}
