package tick

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSinceBootAdvances(t *testing.T) {
	is := is.New(t)
	start, from := SinceBoot(), time.Now()
	time.Sleep(5 * time.Millisecond)
	passed, real := SinceBoot()-start, time.Since(from)
	is.True(passed >= 4*time.Millisecond)
	is.True(passed <= real)
}
