// Cases starts the stand-ins and the daemons of one case of the review and judges the rule of the case. It exits
// with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// result is the outcome of a case that has run.
type result struct {
	broken  bool
	summary string
}

var cases = map[string]func(b *bed, trouble bool) (result, error){
	"early-reset": runEarlyReset,
	"memory":      runMemory,
	"cut-stream":  runCutStream,
	"drain":       runDrain,
	"late-body":   runLateBody,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		return runReplica(os.Args[2:])
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitFailed
	}
	c, ok := cases[os.Args[1]]
	dir, err := filepath.Abs(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	b, err := newBed(filepath.Dir(filepath.Dir(dir)), rec)
	if b != nil {
		defer b.stop()
	}
	var res result
	if err == nil {
		res, err = c(b, trouble)
	}
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	word, code := "the rule held", exitHeld
	if res.broken {
		word, code = "THE RULE WAS BROKEN", exitBroken
	}
	rec.add("%s: %s", word, res.summary)
	fmt.Printf("%s: %s\n", word, res.summary)
	return code
}
