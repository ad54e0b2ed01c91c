// Command rig plays a case of the review: it starts a small deployment with the project's
// programs, its own executors and clients, brings a disruption about, and checks a rule from
// what clients and executors have seen.
//
//	rig CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// maxTime ends the whole test.
	maxTime = 115 * time.Second
)

// scene plays a case. trouble is false if the disruption is left out. broken says that the
// rule was broken.
type scene func(w *world, trouble bool) (broken bool, err error)

var scenes = map[string]scene{
	"count":     playCount,
	"forgotten": playForgotten,
	"pipelined": playPipelined,
	"oversized": playOversized,
	"renamed":   playRenamed,
	"uncounted": playUncounted,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(rec, os.Args[2])
	if err != nil {
		rec.add("couldn't run: %v", err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(maxTime, func() {
		rec.add("couldn't run: out of time")
		w.close()
		os.Exit(exitNotRun)
	})
	if err := w.start(); err != nil {
		rec.add("couldn't run: %v", err)
		return exitNotRun
	}
	broken, err := scenes[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("couldn't run: %v", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
