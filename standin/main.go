// Standin runs small stand-ins of the systems that the router calls: engines, the
// platform and plain services. It also sends requests to a fleet that uses them.
//
// # Usage
//
//	standin serve              # stand-ins on free ports, prints the platform's URL
//	standin list -platform URL NAME=CENTRE=ADDRESS…
//	standin drive -entries URL,URL -admins URL,URL
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fs := flag.NewFlagSet("standin", flag.ContinueOnError)
	root := &ffcli.Command{
		ShortUsage:  "standin <serve|list|drive> [flags]",
		ShortHelp:   "Stand-ins of engines, the platform and plain services.",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{serveCommand(), listCommand(), driveCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
}
