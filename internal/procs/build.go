package procs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	binaryName = "pistachiotack"
	module     = "github.com/pistachiotack/pistachiotack"
)

// Build compiles the program into the directory and returns the file.
func Build(ctx context.Context, directory string) (string, error) {
	file := filepath.Join(directory, binaryName)
	command := exec.CommandContext(ctx, "go", "build", "-o", file, module)
	output, err := command.CombinedOutput()

	return file, errors.Wrapf(err, "go build: %s", output)
}

var built struct {
	sync.Once

	file string
	err  error
}

// Binary builds the program on the first call of a process; RemoveBinary deletes it.
func Binary(ctx context.Context) (string, error) {
	built.Do(func() {
		directory, err := os.MkdirTemp("", "pistachiotack-procs-")
		if err != nil {
			built.err = errors.Wrap(err, "make directory for the binary")

			return
		}
		built.file, built.err = Build(ctx, directory)
	})

	return built.file, built.err
}

// RemoveBinary deletes what Binary built.
func RemoveBinary() {
	if built.file != "" {
		_ = os.RemoveAll(filepath.Dir(built.file))
	}
}
