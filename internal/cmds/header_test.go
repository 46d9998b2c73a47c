package cmds_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// TestShownFileCanBeApplied: what show prints is taken back without its header, whose revision is the base.
func TestShownFileCanBeApplied(t *testing.T) {
	var base, body string
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		base, body = r.URL.Query().Get("base"), string(text)
		if _, err := tree.Parse(body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			_ = json.NewEncoder(w).Encode(holder.Result{State: trial.StateRefused, Reason: trial.ReasonInvalid, Problems: err.(tree.Problems)})

			return
		}
		_ = json.NewEncoder(w).Encode(holder.Result{State: trial.StateAccepted, Revision: 8})
	}))
	defer listener.Close()
	file := filepath.Join(t.TempDir(), "tree.toml")
	apply := func(text string, flags ...string) (string, int) {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		var out bytes.Buffer
		args := append([]string{"settings", "--node", listener.Listener.Addr().String(), "apply", file}, flags...)
		code := cmds.Run(cmds.Env{Context: t.Context(), Out: &out, Err: &out}, args)

		return out.String(), code
	}
	header := "# revision 7, edit e by anna, 2026-01-01T00:00:00Z\n# degraded: table away\n"

	out, code := apply(header + "# ours\nattempts = 4\n")
	require.Equal(t, cmds.ExitOK, code, out)
	require.Equal(t, "7", base)
	require.Equal(t, "# ours\nattempts = 4\n", body)
	_, code = apply(header+"attempts = 4\n", "--base", "5")
	require.Equal(t, cmds.ExitOK, code)
	require.Equal(t, "5", base)
	out, code = apply("attempts = 4\n")
	require.Equal(t, cmds.ExitUsage, code)
	require.Contains(t, out, "--base")
	out, code = apply(header + "atempts = 4\n")
	require.Equal(t, cmds.ExitUsage, code)
	require.Contains(t, out, "line 3: atempts")
}

func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	block := make([]byte, 64<<10)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent := 0; sent < 512<<20; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer node.Close()
	var out bytes.Buffer
	code := cmds.Run(cmds.Env{Context: t.Context(), Out: &out, Err: &out}, []string{"status", "--node", node.Listener.Addr().String()})
	require.NotEqual(t, cmds.ExitOK, code)
	require.Contains(t, out.String(), "exceeds")
	require.Less(t, out.Len(), 1<<10)
}
