package node

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

const readyFileMode = 0o600

// Addresses are the addresses on which a node listens. They are also the content of its ready file.
type Addresses struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Control   string `toml:"control"`
	Backend   string `toml:"backend"`
	Operators string `toml:"operators"`
}

// writeReadyFile writes the ready file if the settings name one. It renames a temporary file, so that readers never see a partial
// file.
func (n *Node) writeReadyFile() error {
	path := n.settings.Listen.Ready
	if path == "" {
		return nil
	}
	text, err := toml.Marshal(n.Addresses())
	if err != nil {
		return errors.Wrap(err, "encode ready file")
	}
	tempFile := path + ".new"
	if err = os.WriteFile(tempFile, text, readyFileMode); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	if err = os.Rename(tempFile, path); err != nil {
		return errors.Wrap(err, "publish ready file")
	}

	return nil
}
