package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) version() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "wasabi version",
		ShortHelp:  "show the version",
		FlagSet:    a.flags("version"),
		Exec: func(context.Context, []string) error {
			version, revision := "(devel)", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				if info.Main.Version != "" {
					version = info.Main.Version
				}
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			a.printf("wasabi %s, commit %s, %s\n", version, revision, runtime.Version())
			return nil
		},
	}
}
