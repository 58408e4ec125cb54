// Cases2 plays the scripts of the second review: it starts daemons as separate processes before small stand-ins of the platform's store,
// balancer, replicas and clients, and checks one rule on what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name.
var cases = map[string]func(e *env) (broken []string, err error){
	"drain": drainCase,
	"twice": twiceCase,
	"fresh": freshCase,
}

// env is what a case runs in.
type env struct {
	root    string // folder of the repository
	dir     string // temporary folder
	trouble bool

	mu    sync.Mutex
	lines []recordLine
	begin time.Time
}

type recordLine struct {
	at   time.Time
	text string
}

// note adds a line to the record.
func (e *env) note(at time.Time, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, recordLine{at, fmt.Sprintf(format, args...)})
}

// write writes the record in order of time.
func (e *env) write(path string, broken []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.lines, func(i, j int) bool { return e.lines[i].at.Before(e.lines[j].at) })
	var b strings.Builder
	for _, l := range e.lines {
		fmt.Fprintf(&b, "%9.3f %s\n", l.at.Sub(e.begin).Seconds(), l.text)
	}
	fmt.Fprintf(&b, "\nbroken: %d\n%s\n", len(broken), strings.Join(broken, "\n"))
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE REPOSITORY RECORD")
		return exitFailed
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	e := &env{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", begin: time.Now()}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		<-signals
		killAll()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](e)
	if err != nil {
		return fail(err)
	}
	if err := e.write(os.Args[3], broken); err != nil {
		return fail(err)
	}
	for i, b := range broken {
		if i < 20 {
			fmt.Println(b)
		}
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

func fail(err error) int {
	killAll()
	fmt.Fprintln(os.Stderr, "cases2:", err)
	return exitFailed
}
