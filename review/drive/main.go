package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases are the cases by name; each returns how the rule was broken, empty if it held.
var cases = map[string]func(ctx context.Context, w *world) ([]string, error){
	"caller": playCaller,
	"drain":  playDrain,
	"logs":   playLogs,
	"silent": playSilent,
	"stop":   playStop,
	"stray":  playStray,
}

var errUsage = errors.New("usage: drive CASE RECORD")

func main() {
	code, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func play() (int, error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return exitFailed, errUsage
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		return exitFailed, err
	}
	w, end, err := newWorld(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return exitFailed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	go endOnSignal(end)
	broken, err := cases[os.Args[1]](ctx, w)
	if err == nil {
		err = ctx.Err()
	}
	for _, line := range broken {
		r.add("BROKEN: %s", line)
	}
	if err == nil && len(broken) == 0 {
		r.add("the rule held")
	}
	cancel()
	end()
	if closeErr := r.close(); err == nil {
		err = closeErr
	}

	return verdict(broken, err)
}

// verdict returns the exit code, and prints the first break.
func verdict(broken []string, err error) (int, error) {
	switch {
	case err != nil:
		return exitFailed, err
	case len(broken) > 0:
		fmt.Printf("%d breaks, the first: %s\n", len(broken), broken[0])

		return exitBroken, nil
	default:
		fmt.Println("the rule held")

		return exitHeld, nil
	}
}

// endOnSignal ends all processes of the case if the case itself is told to end.
func endOnSignal(end func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	end()
	os.Exit(exitFailed)
}
