// Wasabi is the operators' command: it checks, compares and packs tables,
// makes keys, shows what the instances have in force and explains decisions.
//
// # Usage
//
//	wasabi check fleet.csv keys.csv
//	wasabi diff old.csv new.csv
//	wasabi pack -revision 12 -out publish fleet.csv keys.csv
//	wasabi key
//	wasabi status -instances 10.0.0.1:7000,10.0.0.2:7000
//	wasabi explain r-7f3a daemon.log
//
// # Exit codes
//
//	0  all is well
//	1  faults were found, or what was asked for is not there
//	2  wrong usage
//	3  the instances disagree
//	4  an instance could not be reached
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	a := &app{in: os.Stdin, out: os.Stdout, errOut: os.Stderr, random: rand.Reader}
	code := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
