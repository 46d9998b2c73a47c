// Command pistachiotack is an overload control layer for service call graphs.
package main

import (
	"embed"
	"os"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
)

//go:embed examples
var examples embed.FS

func main() {
	os.Exit(cmds.Main(os.Args[1:], examples))
}
