package era_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/era"
)

func TestObserve(t *testing.T) {
	tests := map[string]struct {
		eras     []uint64
		expected era.Verdict
	}{
		"first response":            {[]uint64{7}, era.VerdictKeep},
		"no eras at all":            {[]uint64{0, 0}, era.VerdictKeep},
		"same era":                  {[]uint64{7, 7}, era.VerdictKeep},
		"next era":                  {[]uint64{7, 8}, era.VerdictRestart},
		"several eras later":        {[]uint64{7, 10}, era.VerdictRestart},
		"late response":             {[]uint64{7, 8, 7}, era.VerdictDrop},
		"after a late response":     {[]uint64{7, 8, 7, 8}, era.VerdictKeep},
		"era after the first store": {[]uint64{0, 1}, era.VerdictRestart},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker era.Tracker
			var last era.Verdict
			for _, number := range test.eras {
				last = tracker.Observe(number)
			}
			require.Equal(t, test.expected, last)
		})
	}
}

func TestEraNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker era.Tracker
		highest := uint64(0)
		for i, number := range rapid.SliceOfN(rapid.Uint64Range(0, 5), 1, 20).Draw(t, "eras") {
			verdict := tracker.Observe(number)
			require.Equal(t, number < highest, verdict == era.VerdictDrop)
			require.Equal(t, i > 0 && number > highest, verdict == era.VerdictRestart)
			highest = max(highest, number)
			require.Equal(t, highest, tracker.Current())
		}
	})
}

func TestVersionText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := era.Version{Era: rapid.Uint64().Draw(t, "era"), Number: rapid.Uint64().Draw(t, "number")}
		parsed, err := era.ParseVersion(version.String())
		require.NoError(t, err)
		require.Equal(t, version, parsed)
	})
	for _, text := range []string{"", "1", "1.", ".1", "a.1", "1.2.3", "-1.2"} {
		_, err := era.ParseVersion(text)
		require.ErrorIs(t, err, era.ErrMalformed, "%q", text)
	}
}
