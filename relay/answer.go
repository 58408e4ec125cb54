package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/plain"
)

// problem is the body of the router's own answers.
type problem struct {
	Error detail `json:"error"`
}

type detail struct {
	Code    fail.Code `json:"code"`
	Message string    `json:"message"`
	Outcome string    `json:"outcome"`
}

// deny answers a request that no wait would help.
func (j *job) deny(status int, code fail.Code, reason string) {
	j.own(status, code, reason, ident.NotRun)
}

// refuse answers a request that has not run and never will.
func (j *job) refuse(r *fail.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Code() == fail.CodeRateLimited {
		status = http.StatusTooManyRequests
	}
	if r.RetryAfter() > 0 {
		s := strconv.FormatFloat(r.RetryAfter().Seconds(), 'f', 3, 64)
		j.w.Header().Set("Retry-After", s)
	}
	j.own(status, r.Code(), r.Reason(), ident.NotRun)
}

// failed answers a request that a server may have run.
func (j *job) failed(timeout bool, reason string) {
	status, code := http.StatusBadGateway, fail.CodeBackendFailed
	if timeout {
		status, code = http.StatusGatewayTimeout, fail.CodeDeadline
	}
	j.own(status, code, reason, ident.Unknown)
}

func (j *job) own(status int, code fail.Code, reason string, o ident.Outcome) {
	b, err := json.Marshal(problem{detail{code, reason, o.String()}})
	if err != nil {
		j.h.cfg.Log.Error().Err(err).Msg("relay: encode answer")
	}
	hd := j.w.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(b)))
	j.began, j.status = true, status
	if o == ident.NotRun {
		j.code = code
	}
	j.note = strconv.Itoa(status) + " " + reason
	j.w.WriteHeader(status)
	_, _ = j.w.Write(b) // a caller that has left needs no answer
}

// giveUp answers a request for which nothing more is tried.
func (j *job) giveUp(retry time.Duration, reason string) {
	switch {
	case j.began:
		j.note = "stream cut: " + reason
		panic(http.ErrAbortHandler)
	case j.gone():
		j.note = "caller left: " + reason
	case j.saved != nil:
		j.pass(j.saved)
	case !j.sent:
		j.refuse(fail.Refuse(fail.CodeNoServer, retry, reason))
	default:
		j.failed(j.left() <= 0, reason)
	}
}

// head copies the head of a server's answer.
func (j *job) head(h http.Header) {
	dst := j.w.Header()
	for k, v := range plain.EndToEnd(h) {
		if k == "Content-Length" {
			continue
		}
		dst[k] = v
	}
}
