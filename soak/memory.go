package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// memoryPoll is the period at which the memory of the daemons is read.
const memoryPoll = 50 * time.Millisecond

// processMemory is the memory of a process for which the settings name no other limit.
const processMemory = 128_000_000

// privateBytes returns the private memory of a process.
func privateBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(b, []byte("RssAnon:"))
	f := strings.Fields(string(rest))
	if len(f) == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	kb, err := strconv.ParseInt(f[0], 10, 64)
	return kb << 10, err
}

// watchMemory records the daemons that use more memory than they have, until ctx ends.
func (f *fleet) watchMemory(ctx context.Context) {
	over := make(map[int]bool)
	for ctx.Err() == nil {
		for _, d := range f.daemons {
			pid := d.pid()
			if n, err := privateBytes(pid); err == nil && n > f.memory.Load() && !over[pid] {
				over[pid] = true
				f.rec.exited(fmt.Sprintf("%s used %d MB of memory", d.name, n/1_000_000))
			}
		}
		time.Sleep(memoryPoll)
	}
}

// pid returns the ID of the process in the seat, 0 for none.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}
