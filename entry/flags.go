package main

import (
	"flag"
	"io"
	"strconv"

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
	measures string // port, empty for none
}

// parseFlags reads flags, and environment variables for those not given.
func parseFlags(args []string, out io.Writer) (flags, error) {
	var f flags
	fs := flag.NewFlagSet("entry", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&f.settings, "settings", "", "`path` of the platform's settings file; by default from "+platform.SettingsEnv)
	fs.StringVar(&f.logLevel, "log", "info", "least `level` of log lines: debug, info, warn or error")
	fs.StringVar(&f.measures, "measures", "", "`port` at which the measures are served; they are at the readiness address in any case")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return flags{}, err
	}
	if fs.NArg() > 0 {
		return flags{}, errors.Errorf("unexpected argument %q", fs.Arg(0))
	}
	if _, err := strconv.ParseUint(f.measures, 10, 16); f.measures != "" && err != nil {
		return flags{}, errors.Errorf("measures: %q is not a port", f.measures)
	}
	if f.settings == "" {
		f.settings = settingsPath()
	}
	return f, nil
}
