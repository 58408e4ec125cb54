package slope_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/slope"
)

func Example() {
	s := slope.New("memory", "daemons", "MB")
	s.Add(3, 16)
	s.Add(9, 28)
	s.Add(27, 64)
	_ = s.Write(os.Stdout, 360)
	// Output:
	// slope: memory
	//        daemons  MB
	//              3  16
	//              9  28
	//             27  64
	//   fit: 10 + 2 per daemons, R² 1.000; at 360: 730 (extrapolated)
}

func TestPointsOfOneSizeHaveNoFit(t *testing.T) {
	is := is.New(t)
	s := slope.New("bytes", "daemons", "B/s")
	s.Add(3, 10)
	s.Add(3, 12)
	var b strings.Builder
	is.NoErr(s.Write(&b, 360))
	is.True(!strings.Contains(b.String(), "fit"))
}
