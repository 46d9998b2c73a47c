package rate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

func TestParse(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		values []string
		want   rate.Limit
		valid  bool
	}{
		"no header":               {nil, rate.Limit{}, true},
		"whole number":            {[]string{"15"}, rate.PerSecond(15), true},
		"fraction":                {[]string{"0.5"}, rate.PerSecond(0.5), true},
		"nothing":                 {[]string{"0"}, rate.PerSecond(0), true},
		"same value twice":        {[]string{"15", "15.0"}, rate.PerSecond(15), true},
		"two values":              {[]string{"15", "20"}, rate.Limit{}, false},
		"two values in one field": {[]string{"15, 20"}, rate.Limit{}, false},
		"negative":                {[]string{"-1"}, rate.Limit{}, false},
		"not a number":            {[]string{"NaN"}, rate.Limit{}, false},
		"infinite":                {[]string{"1e999"}, rate.Limit{}, false},
		"words":                   {[]string{"fast"}, rate.Limit{}, false},
		"empty":                   {[]string{""}, rate.Limit{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := rate.Parse(test.values)
			require.Equal(t, test.want, got)
			if test.valid {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, rate.ErrLimit)
			}
		})
	}
}
