package once_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilentBackupsRefuseNoCall guards against a keyed call that is rejected because its backups are silent for a second.
func TestSilentBackupsRefuseNoCall(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	w.on(atCopy, func(*proc) { time.Sleep(1200 * time.Millisecond) })
	_, err := w.call("a1", "r1", key)
	is.NoErr(err)
	is.Equal(w.ran(key), 1)
	a, err := w.call("a2", "r2", key)
	is.NoErr(err)
	is.True(a.Replayed)
	is.Equal(w.ran(key), 1)
}
