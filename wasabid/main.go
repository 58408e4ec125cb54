// Wasabid is the router's daemon. One process of it runs on each entry
// instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/wasabid/app"
	"wasabidock.dev/dock/wasabid/conf"
)

// The exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	cfg, err := conf.Parse(os.Args[1:], os.Environ(), os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "wasabid:", err)
		return exitSettings
	}
	// Further signals are received and have no effect: a second one must not
	// cut the requests that are being finished.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	if err := app.Run(context.Background(), cfg, os.Stderr, stop); err != nil {
		fmt.Fprintln(os.Stderr, "wasabid:", err)
		return exitFailed
	}
	return exitOK
}
