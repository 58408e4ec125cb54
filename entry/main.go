// Entry is the router's daemon for platforms that publish routes, services and keys. Each router
// instance runs one process of it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/platform"
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
	cfg, err := parseFlags(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitSettings
	}
	set, err := platform.ReadSettings(cfg.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitSettings
	}
	// Later signals are received and ignored: a second SIGTERM must not cut off the requests that
	// are still running.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stop := make(chan struct{})
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				close(stop)
				return
			}
		}
	}()
	if err := runApp(context.Background(), cfg, set, os.Stdout, stop); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitFailed
	}
	return exitOK
}
