// Command scene starts a small deployment of the project's own programs as separate
// processes on loopback addresses, with stand-ins for executors, clients, the operator and
// the platform, plays one scene and judges the rules from what the stand-ins saw.
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the scene couldn't run.
// With TROUBLE=0 the scene is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// disklessFronts is the number of front machines besides the three with a disk.
const disklessFronts = 1

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scene is played on a world that has not been started yet.
type scene struct {
	play  func(w *world, trouble bool) error
	sides int // number of side machines
}

var scenes = map[string]scene{
	"drain":  {playDrain, 3},
	"cancel": {playCancel, 3},
	"reborn": {playReborn, 1},
	"label":  {playLabel, 7},
	"twice":  {playTwice, 3},
}

// maxShown limits the breaks that are printed. The record has all of them.
const maxShown = 5

// longest is the time after which a scene is given up.
const longest = 110 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || scenes[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: scene NAME ROOT RECORD")
		return exitFailed
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go forkLoop()
	w, err := newWorld(rec, os.Args[2], disklessFronts, scenes[os.Args[1]].sides)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	played := make(chan error, 1)
	go func() { played <- scenes[os.Args[1]].play(w, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-played:
	case <-stop:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(longest):
		err = fmt.Errorf("the scene takes too long")
	}
	return w.verdict(err)
}

// verdict reports the outcome of a scene.
func (w *world) verdict(err error) int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	for _, text := range w.check.broken[:min(len(w.check.broken), maxShown)] {
		fmt.Println(text)
	}
	fmt.Printf("%d starts, %d breaks, %d of %d orders carried out late, error: %v\n", w.check.starts, len(w.check.broken), w.check.late, w.check.orders, err)
	w.rec.log("%d starts, %d breaks, error: %v", w.check.starts, len(w.check.broken), err)
	switch {
	case err != nil:
		return exitFailed
	case len(w.check.broken) > 0:
		return exitBroken
	}
	return exitHeld
}

// forks carries the starts of processes to the one thread that forks them. The kernel
// kills a process with Pdeathsig when the thread that forked it ends.
var forks = make(chan func())

func forkLoop() {
	runtime.LockOSThread()
	for f := range forks {
		f()
	}
}

// onForkThread runs f on the thread that forks processes.
func onForkThread(f func() error) error {
	done := make(chan error)
	forks <- func() { done <- f() }
	return <-done
}
