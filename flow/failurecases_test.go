package flow_test

import (
	"context"
	"time"

	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

// failures maps the name of a failure to the function that causes it.
var failures = map[string]func(t *faultTarget){
	"decode engine dies":      func(t *faultTarget) { t.engines["d1"].Kill() },
	"decode engine restarts":  func(t *faultTarget) { t.engines["d1"].Restart() },
	"prefill engine dies":     func(t *faultTarget) { t.engines["p1"].Kill() },
	"prefill engine restarts": func(t *faultTarget) { t.engines["p1"].Restart() },
	"both engines die":        func(t *faultTarget) { t.engines["p1"].Kill(); t.engines["d1"].Kill() },
	"all engines die": func(t *faultTarget) {
		for _, e := range t.engines {
			e.Kill()
		}
	},
	"caller cancels":   func(t *faultTarget) { t.cancel(context.Canceled) },
	"key is withdrawn": func(t *faultTarget) { t.cancel(errKeyWithdrawn) },
	"caller cancels and the cancels are lost": func(t *faultTarget) {
		t.injectAll(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/cancel", N: 3})
		t.cancel(context.Canceled)
	},
	"connections silent to the engine":   func(t *faultTarget) { t.blackhole(true, false) },
	"connections silent from the engine": func(t *faultTarget) { t.blackhole(false, true) },
	"connections silent both ways":       func(t *faultTarget) { t.blackhole(true, true) },
	"engines stop sending":               func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultSilence}) },
	"engines pause": func(t *faultTarget) {
		t.injectAll(stand.Fault{Kind: stand.FaultPause, DelayMS: enginePause.Milliseconds()})
	},
	"streams break": func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultCut}) },
	"transfer stalls once": func(t *faultTarget) {
		t.injectAll(stand.Fault{Kind: stand.FaultStall, N: 1})
	},
	"transfers stall until the cache is gone": func(t *faultTarget) {
		t.engines["p1"].Inject(stand.Fault{Kind: stand.FaultStall, N: 1000})
	},
	"tokens duplicated and foreign": func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultCross, N: 7}) },
	"cancels lost":                  func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/cancel", N: 3}) },
	"cancels unacknowledged":        func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/cancel", N: 3}) },
	"reserve lost":                  func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/reserve", N: 1}) },
	"reserve answer lost":           func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/reserve", N: 1}) },
	"reserve acts late":             func(t *faultTarget) { t.delayCalls("/v1/reserve") },
	"prefill answer lost":           func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/prefill", N: 1}) },
	"prefill acts late":             func(t *faultTarget) { t.delayCalls("/v1/prefill") },
	"prefill fails": func(t *faultTarget) {
		t.engines["p1"].Inject(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/prefill", N: 1})
	},
	"import answer lost":    func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultAfter, Path: "/v1/import", N: 1}) },
	"import fails":          func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/import", N: 1}) },
	"stream rejected once":  func(t *faultTarget) { t.injectAll(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/stream", N: 1}) },
	"decode engine drains":  func(t *faultTarget) { t.engines["d1"].Inject(stand.Fault{Kind: stand.FaultDrain}) },
	"prefill engine drains": func(t *faultTarget) { t.engines["p1"].Inject(stand.Fault{Kind: stand.FaultDrain}) },
	"router pauses": func(t *faultTarget) {
		_ = tick.Sleep(context.Background(), t.timer, testHoldTTL+100*time.Millisecond)
	},
}

// failureCase is a failure in a phase of the request, with the expected ending of an exact request,
// whose output is reproducible, and of a sampled one.
type failureCase struct {
	failure string
	at      phase
	exact   ending
	sampled ending
}

var failureCases = []failureCase{
	{"decode engine dies", beforeReserve, complete, complete},
	{"decode engine dies", afterReserve, complete, complete},
	{"decode engine dies", duringPrefill, complete, complete},
	{"decode engine dies", afterPrefill, complete, complete},
	{"decode engine dies", duringImport, complete, complete},
	{"decode engine dies", afterImport, complete, complete},
	{"decode engine dies", midStream, complete, truncated},
	{"decode engine dies", lastToken, complete, completeOrTruncated},
	{"decode engine restarts", afterReserve, complete, complete},
	{"decode engine restarts", afterPrefill, complete, complete},
	{"decode engine restarts", afterImport, complete, complete},
	{"decode engine restarts", midStream, complete, truncated},
	{"prefill engine dies", beforeReserve, complete, complete},
	{"prefill engine dies", duringPrefill, complete, complete},
	{"prefill engine dies", afterPrefill, complete, complete},
	{"prefill engine dies", duringImport, complete, complete},
	{"prefill engine dies", midStream, complete, complete},
	{"prefill engine restarts", duringPrefill, complete, complete},
	{"prefill engine restarts", afterPrefill, complete, complete},
	{"both engines die", afterReserve, complete, complete},
	{"both engines die", duringPrefill, complete, complete},
	{"both engines die", afterPrefill, complete, complete},
	{"both engines die", midStream, complete, truncated},
	{"all engines die", beforeReserve, rejected, rejected},
	{"all engines die", afterPrefill, failed, failed},
	{"all engines die", midStream, truncated, truncated},
	{"caller cancels", beforeReserve, rejected, rejected},
	{"caller cancels", afterReserve, rejected, rejected},
	{"caller cancels", duringPrefill, failed, failed},
	{"caller cancels", afterPrefill, failed, failed},
	{"caller cancels", duringImport, failed, failed},
	{"caller cancels", midStream, truncated, truncated},
	{"key is withdrawn", duringPrefill, failed, failed},
	{"key is withdrawn", midStream, truncated, truncated},
	{"caller cancels and the cancels are lost", duringPrefill, failed, failed},
	{"caller cancels and the cancels are lost", midStream, truncated, truncated},
	{"connections silent to the engine", duringPrefill, complete, complete},
	{"connections silent to the engine", duringImport, complete, complete},
	{"connections silent to the engine", midStream, complete, complete},
	{"connections silent from the engine", duringPrefill, complete, complete},
	{"connections silent from the engine", duringImport, complete, complete},
	{"connections silent from the engine", midStream, complete, complete},
	{"connections silent from the engine", lastToken, complete, complete},
	{"connections silent both ways", duringPrefill, complete, complete},
	{"connections silent both ways", midStream, complete, complete},
	{"engines stop sending", duringPrefill, complete, complete},
	{"engines stop sending", duringImport, complete, complete},
	{"engines stop sending", midStream, complete, complete},
	{"streams break", midStream, complete, complete},
	{"streams break", lastToken, complete, complete},
	{"transfer stalls once", afterPrefill, complete, complete},
	{"transfers stall until the cache is gone", afterPrefill, complete, complete},
	{"tokens duplicated and foreign", afterImport, complete, complete},
	{"cancels lost", beforeReserve, complete, complete},
	{"cancels unacknowledged", beforeReserve, complete, complete},
	{"reserve lost", beforeReserve, complete, complete},
	{"reserve answer lost", beforeReserve, complete, complete},
	{"reserve acts late", beforeReserve, complete, complete},
	{"prefill answer lost", afterReserve, complete, complete},
	{"prefill acts late", afterReserve, complete, complete},
	{"prefill fails", afterReserve, complete, complete},
	{"import answer lost", afterPrefill, complete, complete},
	{"import fails", afterPrefill, complete, complete},
	{"stream rejected once", afterImport, complete, complete},
	{"decode engine drains", beforeReserve, complete, complete},
	{"decode engine drains", afterReserve, complete, complete},
	{"decode engine drains", midStream, complete, complete},
	{"prefill engine drains", beforeReserve, complete, complete},
	{"prefill engine drains", duringPrefill, complete, complete},
	{"router pauses", afterReserve, complete, complete},
	{"router pauses", afterPrefill, complete, complete},
	{"router pauses", afterImport, complete, complete},
}
