package cmds

import (
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Beginnings of the lines that `settings show` puts before the tree.
const (
	headerRevision = "# revision "
	headerTrial    = "# on trial at this node: "
	headerDegraded = "# degraded: "
)

// document is a settings file without the lines that `settings show` puts before the tree.
type document struct {
	text string
	// base is the revision that those lines name, if based.
	base  uint64
	based bool
	// skipped is the number of those lines.
	skipped int
}

func readDocument(file string) (document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return document{}, errors.Wrap(err, "read settings tree")
	}

	return newDocument(string(text)), nil
}

func newDocument(text string) document {
	d := document{text: text}
	for {
		line, rest, more := strings.Cut(d.text, "\n")
		revision, named := strings.CutPrefix(line, headerRevision)
		if !named && !strings.HasPrefix(line, headerTrial) && !strings.HasPrefix(line, headerDegraded) || !more {
			return d
		}
		if named && !d.based {
			number, _, _ := strings.Cut(revision, ",")
			base, err := strconv.ParseUint(number, 10, 64)
			d.base, d.based = base, err == nil
		}
		d.text = rest
		d.skipped++
	}
}

// locate moves the lines of problems to where the file has them.
func (d document) locate(err error) error {
	var problems tree.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for i := range problems {
		if problems[i].Line > 0 {
			problems[i].Line += d.skipped
		}
	}

	return problems
}
