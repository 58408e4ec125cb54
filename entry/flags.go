package main

import (
	"flag"
	"io"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"

	"wasabidock.dev/dock/platform"
)

// envPrefix begins the environment variables that stand for flags.
const envPrefix = "WASABI"

// defaultSettings is where the platform puts the settings.
const defaultSettings = "/etc/wasabidock/settings.conf"

// flags are the checked flags of the daemon.
type flags struct {
	settings string
	logLevel string
}

// parseFlags reads flags, and environment variables for those not given.
func parseFlags(args []string, out io.Writer) (flags, error) {
	var f flags
	fs := flag.NewFlagSet("entry", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&f.settings, "settings", "", "`path` of the platform's settings file; by default from "+platform.SettingsEnv)
	fs.StringVar(&f.logLevel, "log", "info", "least `level` of log lines: debug, info, warn or error")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return flags{}, err
	}
	if fs.NArg() > 0 {
		return flags{}, errors.Errorf("unexpected argument %q", fs.Arg(0))
	}
	if f.settings == "" {
		f.settings = settingsPath()
	}
	return f, nil
}
