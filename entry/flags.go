package main

import (
	"flag"
	"io"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"

	"wasabidock.dev/dock/platform"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "WASABI"

// defaultSettings is the path at which the platform places the settings file.
const defaultSettings = "/etc/wasabidock/settings.conf"

// flags are the validated command line flags of the daemon.
type flags struct {
	settings    string
	logLevel    string
	metricsPort string // additional port that serves the metrics, empty for none
}

// parseFlags parses args. A flag that is not given is read from its environment variable.
func parseFlags(args []string, out io.Writer) (flags, error) {
	var f flags
	fs := flag.NewFlagSet("entry", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&f.settings, "settings", "", "`path` of the platform's settings file; by default from "+platform.SettingsEnv)
	fs.StringVar(&f.logLevel, "log", "info", "minimum `level` of log lines: debug, info, warn or error")
	fs.StringVar(&f.metricsPort, "measures", "", "additional `port` at which the metrics are served; they are always served at the readiness address")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return flags{}, err
	}
	if fs.NArg() > 0 {
		return flags{}, errors.Errorf("unexpected argument %q", fs.Arg(0))
	}
	if _, err := strconv.ParseUint(f.metricsPort, 10, 16); f.metricsPort != "" && err != nil {
		return flags{}, errors.Errorf("measures: %q is not a port", f.metricsPort)
	}
	if f.settings == "" {
		f.settings = settingsPath()
	}
	return f, nil
}
