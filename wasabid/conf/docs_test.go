package conf_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/wasabid/conf"
)

var (
	rowPattern  = regexp.MustCompile("(?m)^\\| (`-[^|]+) \\|")
	flagPattern = regexp.MustCompile("`-([a-z-]+)`")
	helpPattern = regexp.MustCompile(`(?m)^  -([a-z-]+)`)
)

func TestOperationsPageListsTheFlags(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	listed := make(map[string]bool)
	for _, row := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		for _, m := range flagPattern.FindAllStringSubmatch(row[1], -1) {
			listed[m[1]] = true
		}
	}
	var help strings.Builder
	_, err = conf.Parse([]string{"-h"}, nil, &help)
	is.True(err != nil)
	known := make(map[string]bool)
	for _, m := range helpPattern.FindAllStringSubmatch(help.String(), -1) {
		known[m[1]] = true
		if !listed[m[1]] {
			t.Errorf("docs/OPERATIONS.md lacks -%s", m[1])
		}
	}
	for name := range listed {
		if !known[name] {
			t.Errorf("docs/OPERATIONS.md lists -%s, which is no flag", name)
		}
	}
}
