package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
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

// searchLog returns the decisions about the ID, and how many lines that name it could not be read.
func searchLog(in io.Reader, id string) (found []located, unreadable int, err error) {
	names := func(text []byte) bool { return bytes.Contains(text, []byte(id)) }
	unreadable, err = scanDecisions(in, names, func(decision located) {
		if string(decision.Op) == id || string(decision.Root) == id {
			found = append(found, decision)
		}
	})

	return found, unreadable, err
}

// scanDecisions calls visit for the decision of each line that matches, and returns how many of these lines could not be read. What a
// collector of logs has put before the JSON of a line is skipped.
func scanDecisions(in io.Reader, matches func(text []byte) bool, visit func(located)) (unreadable int, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		text := lines.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(trace.Message)) || !matches(text) {
			continue
		}
		var line logLine
		if json.Unmarshal(text[start:], &line) != nil {
			unreadable++

			continue
		}
		if line.Message != trace.Message {
			continue
		}
		line.Time = line.At
		visit(line.located)
	}

	return unreadable, errors.Wrap(lines.Err(), "scan")
}

// openLog returns the log with the name, standard input for -, and a function that closes it.
func openLog(env Env, name string) (log io.Reader, closeLog func(), err error) {
	if name == "-" {
		return env.In, func() {}, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open log")
	}

	return file, func() { _ = file.Close() }, nil
}
