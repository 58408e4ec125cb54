package slope_test

import (
	"os"

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
