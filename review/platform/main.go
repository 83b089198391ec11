// Command standin plays one case of the review: it starts instances of the project
// as separate processes, with a store, workers and consumers of its own, and checks
// one rule. See review/REPORT.md.
//
// Usage:
//
//	standin -root REPOSITORY -record FILE CASE
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. TROUBLE=0 in the environment leaves the disruption out; KEEP=1 keeps the
// settings and logs of the instances.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit ends a case that takes too long.
const playLimit = 115 * time.Second

// cases maps the name of a case to the function that plays it. It returns the number
// of times that the rule was broken.
var cases = map[string]func(f *fleet) (int, error){}

// processes maps the names of further processes that cases start to their functions,
// which return the exit status.
var processes = map[string]func(args []string) int{}

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "the repository")
	file := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	if process, ok := processes[flag.Arg(0)]; ok {
		return process(flag.Args()[1:])
	}
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return 2
	}
	rec, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(*root, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	defer f.end()
	result := make(chan int, 1)
	go func() {
		broken, err := play(f)
		switch {
		case err != nil:
			rec.say("the case could not run: %v", err)
			result <- 2
		case broken > 0:
			rec.say("the rule was broken %d times", broken)
			result <- 1
		default:
			rec.say("the rule held")
			result <- 0
		}
	}()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-interrupts:
		rec.say("the case was interrupted")
	case <-time.After(playLimit):
		rec.say("the case took longer than %v", playLimit)
	}
	return 2
}
