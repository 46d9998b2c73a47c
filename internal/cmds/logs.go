package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/trace"
)

// longestLine is the longest line in bytes that is searched, far above what a node writes.
const longestLine = 1 << 20

// located is a decision with the node that made it.
type located struct {
	Node string `json:"node"`
	trace.Decision
}

// logLine is a line of a node's log; At is the time of the decision, which is written a little later.
type logLine struct {
	Message string    `json:"msg"`
	At      time.Time `json:"at"`
	located
}

// searchLog returns the decisions about the ID, and how many lines that name it could not be read; what a collector of logs has
// put before the JSON of a line is passed over.
func searchLog(in io.Reader, id string) (found []located, unreadable int, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		text := lines.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(id)) || !bytes.Contains(text, []byte(trace.Message)) {
			continue
		}
		var line logLine
		if json.Unmarshal(text[start:], &line) != nil {
			unreadable++

			continue
		}
		if line.Message != trace.Message || (string(line.Op) != id && string(line.Root) != id) {
			continue
		}
		line.Time = line.At
		found = append(found, line.located)
	}

	return found, unreadable, errors.Wrap(lines.Err(), "scan")
}
