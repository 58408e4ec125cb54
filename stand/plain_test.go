package stand_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

func TestPlainCountsRuns(t *testing.T) {
	tests := []struct {
		name     string
		fault    string
		answered bool
		runs     int
	}{
		{"no fault", "", true, 1},
		{"connection closed before it runs", stand.FaultBefore, false, 0},
		{"connection closed after it ran", stand.FaultAfter, false, 1},
		{"refused", stand.FaultRefuse, false, 0},
		{"fails after it ran", stand.FaultStatus, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := stand.NewPlain(stand.PlainConfig{Name: "counter", Timer: tick.NewFake(0)})
			defer p.Close()
			srv := httptest.NewServer(p)
			defer srv.Close()
			p.Inject(stand.Fault{Kind: tt.fault, Path: "/file", N: 1})
			post := func() bool {
				req, err := http.NewRequest(http.MethodPost, srv.URL+"/file", strings.NewReader("x"))
				is.NoErr(err)
				req.Header.Set("Idempotency-Key", "k1")
				resp, err := srv.Client().Do(req)
				if err != nil {
					return false
				}
				defer func() { _ = resp.Body.Close() }()
				return resp.StatusCode == http.StatusOK
			}
			is.Equal(post(), tt.answered)
			is.Equal(p.Runs("k1"), tt.runs)
			is.True(post()) // the fault affected one call only
			is.Equal(p.Runs("k1"), tt.runs+1)
			is.Equal(p.Counts().Doubled, tt.runs)
			is.Equal(p.Counts().Keys, int64(0))
		})
	}
}
