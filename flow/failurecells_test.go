package flow_test

import (
	"context"
	"time"

	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

// failures are the things that go wrong.
var failures = map[string]func(t *trial){
	"decode engine dies":      func(t *trial) { t.engines["d1"].Kill() },
	"decode engine restarts":  func(t *trial) { t.engines["d1"].Restart() },
	"prefill engine dies":     func(t *trial) { t.engines["p1"].Kill() },
	"prefill engine restarts": func(t *trial) { t.engines["p1"].Restart() },
	"both engines die":        func(t *trial) { t.engines["p1"].Kill(); t.engines["d1"].Kill() },
	"all engines die": func(t *trial) {
		for _, e := range t.engines {
			e.Kill()
		}
	},
	"caller cancels":   func(t *trial) { t.cancel(context.Canceled) },
	"key is withdrawn": func(t *trial) { t.cancel(errWithdrawn) },
	"caller cancels and the cancels are lost": func(t *trial) {
		t.fault(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/cancel", N: 3})
		t.cancel(context.Canceled)
	},
	"connections silent to the engine":   func(t *trial) { t.silence(true, false) },
	"connections silent from the engine": func(t *trial) { t.silence(false, true) },
	"connections silent both ways":       func(t *trial) { t.silence(true, true) },
	"engines stop talking":               func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultSilence}) },
	"streams break":                      func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultCut}) },
	"transfer stalls once": func(t *trial) {
		t.fault(stand.Fault{Kind: stand.FaultStall, N: 1})
	},
	"transfers stall until the cache is gone": func(t *trial) {
		t.engines["p1"].Inject(stand.Fault{Kind: stand.FaultStall, N: 1000})
	},
	"tokens doubled and crossed": func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultCross, N: 7}) },
	"cancels lost":               func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/cancel", N: 3}) },
	"cancels unacknowledged":     func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/cancel", N: 3}) },
	"reserve lost":               func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/reserve", N: 1}) },
	"reserve answer lost":        func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/reserve", N: 1}) },
	"reserve acts late":          func(t *trial) { t.late("/v1/reserve") },
	"prefill answer lost":        func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/prefill", N: 1}) },
	"prefill acts late":          func(t *trial) { t.late("/v1/prefill") },
	"prefill fails": func(t *trial) {
		t.engines["p1"].Inject(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/prefill", N: 1})
	},
	"import answer lost":    func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/import", N: 1}) },
	"import fails":          func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/import", N: 1}) },
	"stream refused once":   func(t *trial) { t.fault(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/stream", N: 1}) },
	"decode engine drains":  func(t *trial) { t.engines["d1"].Inject(stand.Fault{Kind: stand.FaultDrain}) },
	"prefill engine drains": func(t *trial) { t.engines["p1"].Inject(stand.Fault{Kind: stand.FaultDrain}) },
	"router pauses": func(t *trial) {
		_ = tick.Sleep(context.Background(), t.timer, testHold+100*time.Millisecond)
	},
}

// cell is a failure at a moment, and how requests end by it: one whose output
// is repeatable, and one whose output is not.
type cell struct {
	failure string
	at      moment
	exact   ending
	sampled ending
}

var cells = []cell{
	{"decode engine dies", beforeReserve, whole, whole},
	{"decode engine dies", afterReserve, whole, whole},
	{"decode engine dies", duringPrefill, whole, whole},
	{"decode engine dies", afterPrefill, whole, whole},
	{"decode engine dies", duringImport, whole, whole},
	{"decode engine dies", afterImport, whole, whole},
	{"decode engine dies", midStream, whole, cut},
	{"decode engine dies", lastToken, whole, onWay},
	{"decode engine restarts", afterReserve, whole, whole},
	{"decode engine restarts", afterPrefill, whole, whole},
	{"decode engine restarts", afterImport, whole, whole},
	{"decode engine restarts", midStream, whole, cut},
	{"prefill engine dies", beforeReserve, whole, whole},
	{"prefill engine dies", duringPrefill, whole, whole},
	{"prefill engine dies", afterPrefill, whole, whole},
	{"prefill engine dies", duringImport, whole, whole},
	{"prefill engine dies", midStream, whole, whole},
	{"prefill engine restarts", duringPrefill, whole, whole},
	{"prefill engine restarts", afterPrefill, whole, whole},
	{"both engines die", afterReserve, whole, whole},
	{"both engines die", duringPrefill, whole, whole},
	{"both engines die", afterPrefill, whole, whole},
	{"both engines die", midStream, whole, cut},
	{"all engines die", beforeReserve, refused, refused},
	{"all engines die", afterPrefill, failed, failed},
	{"all engines die", midStream, cut, cut},
	{"caller cancels", beforeReserve, refused, refused},
	{"caller cancels", afterReserve, refused, refused},
	{"caller cancels", duringPrefill, failed, failed},
	{"caller cancels", afterPrefill, failed, failed},
	{"caller cancels", duringImport, failed, failed},
	{"caller cancels", midStream, cut, cut},
	{"key is withdrawn", duringPrefill, failed, failed},
	{"key is withdrawn", midStream, cut, cut},
	{"caller cancels and the cancels are lost", duringPrefill, failed, failed},
	{"caller cancels and the cancels are lost", midStream, cut, cut},
	{"connections silent to the engine", duringPrefill, whole, whole},
	{"connections silent to the engine", duringImport, whole, whole},
	{"connections silent to the engine", midStream, whole, whole},
	{"connections silent from the engine", duringPrefill, whole, whole},
	{"connections silent from the engine", duringImport, whole, whole},
	{"connections silent from the engine", midStream, whole, whole},
	{"connections silent from the engine", lastToken, whole, whole},
	{"connections silent both ways", duringPrefill, whole, whole},
	{"connections silent both ways", midStream, whole, whole},
	{"engines stop talking", duringPrefill, whole, whole},
	{"engines stop talking", duringImport, whole, whole},
	{"engines stop talking", midStream, whole, whole},
	{"streams break", midStream, whole, whole},
	{"streams break", lastToken, whole, whole},
	{"transfer stalls once", afterPrefill, whole, whole},
	{"transfers stall until the cache is gone", afterPrefill, whole, whole},
	{"tokens doubled and crossed", afterImport, whole, whole},
	{"cancels lost", beforeReserve, whole, whole},
	{"cancels unacknowledged", beforeReserve, whole, whole},
	{"reserve lost", beforeReserve, whole, whole},
	{"reserve answer lost", beforeReserve, whole, whole},
	{"reserve acts late", beforeReserve, whole, whole},
	{"prefill answer lost", afterReserve, whole, whole},
	{"prefill acts late", afterReserve, whole, whole},
	{"prefill fails", afterReserve, whole, whole},
	{"import answer lost", afterPrefill, whole, whole},
	{"import fails", afterPrefill, whole, whole},
	{"stream refused once", afterImport, whole, whole},
	{"decode engine drains", beforeReserve, whole, whole},
	{"decode engine drains", afterReserve, whole, whole},
	{"decode engine drains", midStream, whole, whole},
	{"prefill engine drains", beforeReserve, whole, whole},
	{"prefill engine drains", duringPrefill, whole, whole},
	{"router pauses", afterReserve, whole, whole},
	{"router pauses", afterPrefill, whole, whole},
	{"router pauses", afterImport, whole, whole},
}
