package node

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

const readyMode = 0o600

// Addresses are the bound addresses of a node, also the content of its ready file.
type Addresses struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Control   string `toml:"control"`
	Backend   string `toml:"backend"`
	Operators string `toml:"operators"`
}

// announce writes the ready file whole, so that a reader never sees a part of it.
func (n *Node) announce() error {
	file := n.settings.Listen.Ready
	if file == "" {
		return nil
	}
	text, err := toml.Marshal(n.Addresses())
	if err != nil {
		return errors.Wrap(err, "encode ready file")
	}
	temporary := file + ".new"
	if err = os.WriteFile(temporary, text, readyMode); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	if err = os.Rename(temporary, file); err != nil {
		return errors.Wrap(err, "publish ready file")
	}

	return nil
}
