package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// TestStoreIsReadWhileMemoryIsFull guards against changes that are late because requests use all of the memory for them.
func TestStoreIsReadWhileMemoryIsFull(t *testing.T) {
	was := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(was) })
	is := is.New(t)
	st, _ := startServers(t)
	st.Put("op/config", fake.Config{Version: 1}.JSON())
	path := filepath.Join(t.TempDir(), "settings.conf")
	text := fmt.Sprintf("node=a-1\nzone=a\nzones.a=r\nip=127.0.0.1\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nportRange=9,9\nplatform.address=%s\n",
		fake.FreeAddr(), fake.FreeAddr(), fake.FreeAddr(), st.Addr())
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	var budget *memory.Budget
	var store *platform.Watcher
	var live *route.Live
	app := fx.New(fx.NopLogger, fx.Supply(readSettings(t, path), zerolog.Nop(), logs.NewAsyncWriter(os.Stderr, maxLogBytes), flags{}),
		components(), fx.Populate(&budget, &store, &live))
	is.NoErr(app.Err())
	budget.SetMax(0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go store.Run(ctx, done)
	defer func() {
		cancel()
		<-done
	}()
	eventually(t, "the configuration and the servers are in force", func() bool { return live.Table() != nil && live.Fleet().Len() > 0 })
}
