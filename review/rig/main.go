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

// Exit statuses of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxRunTime   = 110 * time.Second
	neededArgs   = 3
	troubleOff   = "0"
	troubleParam = "TROUBLE"
)

// errNotRun means that the deployment did not reach the state in which the rule can be checked.
var errNotRun = errors.New("the case could not run")

// script plays a case, with or without its disruption, and returns how often the rule was broken.
type script func(ctx context.Context, w *world, trouble bool) (broken int, err error)

func scripts() map[string]script {
	return map[string]script{
		"behind":  behindClosing,
		"slow":    slowReading,
		"large":   largeBodies,
		"caller":  statedCaller,
		"answers": largeAnswers,
	}
}

func main() {
	os.Exit(run(os.Args))
}

// run plays the script that the first argument names, and writes the record to the path in the second one.
func run(args []string) int {
	if len(args) != neededArgs || scripts()[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")

		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	log, closeLog, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	defer closeLog()
	w, closeWorld, err := newWorld(log)
	if err != nil {
		log.write("script", "%v", err)

		return exitNotRun
	}
	defer closeWorld()
	trouble := os.Getenv(troubleParam) != troubleOff
	broken, err := scripts()[args[1]](ctx, w, trouble)
	log.write("script", "trouble %t, rule broken %d times, error %v", trouble, broken, err)
	fmt.Printf("%s: trouble %t, rule broken %d times, error %v\n", args[1], trouble, broken, err)
	switch {
	case err != nil:
		return exitNotRun
	case broken > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
