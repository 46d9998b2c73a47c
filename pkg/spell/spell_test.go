package spell_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/spell"
)

func TestNearest(t *testing.T) {
	known := []string{"deadline", "dataCentre", "slots"}
	tests := map[string]string{
		"deadlin":    "deadline",
		"dataCenter": "dataCentre",
		"SLOT":       "slots",
		"sltos":      "slots",
		"weather":    "",
		"":           "",
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, want, spell.Nearest(name, known))
		})
	}
}
