// Package accept accepts the connections of callers for an http.Server, and closes them without losing a request: neither when they are
// idle for too long nor at the end of the process.
//
// # Usage
//
//	l, err := accept.NewListener(tcp, headerTimeout)
//	conns := accept.NewConns(clock, idleTimeout)
//	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: conns.OnStateChange}
//	go srv.Serve(l)
//	conns.EndIdle(limit) // now and then
//
//	// at the end; each response closes its connection from now on
//	err = l.Stop(ctx)
//	err = conns.CloseAll(ctx)
//	srv.Close()
//
// The http.Server must not bound the time for which a connection is idle if EndIdle is called. Its method Shutdown is of no use here:
// it drops requests that are read after its begin.
//
// # Concurrency
//
// All methods may be called concurrently.
package accept
