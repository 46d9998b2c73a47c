package eras_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/eras"
)

func TestObserve(t *testing.T) {
	tests := map[string]struct {
		eras     []uint64
		expected eras.Verdict
	}{
		"first response":            {[]uint64{7}, eras.VerdictKeep},
		"no eras at all":            {[]uint64{0, 0}, eras.VerdictKeep},
		"same era":                  {[]uint64{7, 7}, eras.VerdictKeep},
		"next era":                  {[]uint64{7, 8}, eras.VerdictRestart},
		"several eras later":        {[]uint64{7, 10}, eras.VerdictRestart},
		"late response":             {[]uint64{7, 8, 7}, eras.VerdictDrop},
		"after a late response":     {[]uint64{7, 8, 7, 8}, eras.VerdictKeep},
		"era after the first store": {[]uint64{0, 1}, eras.VerdictRestart},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker eras.Tracker
			var last eras.Verdict
			for _, number := range test.eras {
				last = tracker.Observe(number)
			}
			require.Equal(t, test.expected, last)
		})
	}
}

func TestEraNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker eras.Tracker
		highest := uint64(0)
		for i, number := range rapid.SliceOfN(rapid.Uint64Range(0, 5), 1, 20).Draw(t, "eras") {
			verdict := tracker.Observe(number)
			require.Equal(t, number < highest, verdict == eras.VerdictDrop)
			require.Equal(t, i > 0 && number > highest, verdict == eras.VerdictRestart)
			highest = max(highest, number)
			require.Equal(t, highest, tracker.Current())
		}
	})
}

func TestVersionText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := eras.Version{Era: rapid.Uint64().Draw(t, "era"), Number: rapid.Uint64().Draw(t, "number")}
		parsed, err := eras.ParseVersion(version.String())
		require.NoError(t, err)
		require.Equal(t, version, parsed)
	})
	for _, text := range []string{"", "1", "1.", ".1", "a.1", "1.2.3", "-1.2"} {
		_, err := eras.ParseVersion(text)
		require.ErrorIs(t, err, eras.ErrMalformed, "%q", text)
	}
}
