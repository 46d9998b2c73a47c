// Command rig-3 plays the scripted cases of the third review: it starts nodes as processes, with stand-ins around them.
package main

import (
	"context"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to what plays it, which reports whether the rule held.
var cases = map[string]func(ctx context.Context, r *recorder, trouble bool) (held bool, err error){
	"memory":  slowReaders,
	"freeze":  frozenReader,
	"smuggle": smuggling,
	"calls":   slowCallers,
	"refuse":  spoiledAnswers,
}

func main() {
	os.Exit(play())
}

func play() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")

		return exitFailed
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	defer record.close()
	held, err := cases[os.Args[1]](context.Background(), record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)

		return exitFailed
	case held:
		record.note("the rule held")

		return exitHeld
	default:
		record.note("the rule was broken")

		return exitBroken
	}
}
