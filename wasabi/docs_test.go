package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	commandPattern = regexp.MustCompile("(?m)(?:`|^    )wasabi ([a-z]+)")
	makePattern    = regexp.MustCompile("(?m)(?:`|^    )make ([a-z-]+)")
	targetPattern  = regexp.MustCompile(`(?m)^([a-z-]+):`)
	pathPattern    = regexp.MustCompile("`((?:[a-z]+/)+[A-Za-z0-9_.-]+\\.(?:csv|go|sh|md|txt))`")
)

func pages(t *testing.T) map[string]string {
	t.Helper()
	files, err := filepath.Glob("../docs/*.md")
	is.New(t).NoErr(err)
	set := make(map[string]string)
	for _, f := range append(files, "../README.md") {
		data, err := os.ReadFile(f)
		is.New(t).NoErr(err)
		set[f] = string(data)
	}
	return set
}

func TestDocsNameWhatIsThere(t *testing.T) {
	makefile, err := os.ReadFile("../Makefile")
	is.New(t).NoErr(err)
	var targets []string
	for _, m := range targetPattern.FindAllSubmatch(makefile, -1) {
		targets = append(targets, string(m[1]))
	}
	commands := commandNames((&app{in: &bytes.Buffer{}, out: &bytes.Buffer{}, errOut: &bytes.Buffer{}}).root())
	for name, text := range pages(t) {
		for _, m := range linkPattern.FindAllStringSubmatch(text, -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), m[1])); err != nil {
				t.Errorf("%s: link to %s: %v", name, m[1], err)
			}
		}
		for _, m := range pathPattern.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join("..", m[1])); err != nil {
				t.Errorf("%s: path %s: %v", name, m[1], err)
			}
		}
		for _, m := range commandPattern.FindAllStringSubmatch(text, -1) {
			if !slices.Contains(commands, m[1]) {
				t.Errorf("%s: no command wasabi %s", name, m[1])
			}
		}
		for _, m := range makePattern.FindAllStringSubmatch(text, -1) {
			if !slices.Contains(targets, m[1]) {
				t.Errorf("%s: no target make %s", name, m[1])
			}
		}
	}
}
