package conf_test

import (
	"flag"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/wasabid/conf"
)

func TestParse(t *testing.T) {
	base := []string{"-instance", "sierra-a-1", "-centre", "sierra-a", "-platform", "http://127.0.0.1:9"}
	tests := []struct {
		name   string
		args   []string
		env    []string
		faults []string // substrings, all of which must be there; none means no error
	}{
		{"least", base, nil, nil},
		{"all from the environment", nil, []string{"WASABI_INSTANCE=a", "WASABI_CENTRE=b", "WASABI_PLATFORM=http://h"}, nil},
		{"nothing", nil, nil, []string{"3 faults", "-instance: is required", "-centre: is required", "-platform: is required"}},
		{"every fault at once", append([]string{"-listen", "x", "-log-level", "loud", "-platform", "ftp://h", "-max-active", "0", "-drain-notice", "1h", "-tls-cert", "c", "-peer-ca", "a"}, base[:4]...), nil,
			[]string{"8 faults", `-listen: "x" is not host:port`, "-log-level", "-platform", "-max-active", "-drain-notice", "-tls-key: is required", "-peer-cert: is required", "-peer-key: is required"}},
		{"bad variable", base, []string{"WASABI_DRAIN_NOTICE=soon"}, []string{"WASABI_DRAIN_NOTICE"}},
		{"port out of range", append([]string{"-listen", ":70000"}, base...), nil, []string{"-listen"}},
		{"unknown flag", append([]string{"-lisen", ":1"}, base...), nil, []string{"lisen"}},
		{"seed without a name", append([]string{"-seeds", "10.0.0.1:8081"}, base...), nil, []string{"-seeds: each must be NAME=HOST:PORT"}},
		{"seed without a port", append([]string{"-seeds", "a=10.0.0.1"}, base...), nil, []string{"-seeds"}},
		{"stray argument", append(base, "stray"), nil, []string{`unexpected argument "stray"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := conf.Parse(tt.args, tt.env, io.Discard)
			is.Equal(err != nil, len(tt.faults) > 0)
			for _, f := range tt.faults {
				if !strings.Contains(err.Error(), f) {
					t.Errorf("error %q lacks %q", err, f)
				}
			}
		})
	}
}

func TestFlagGoesBeforeVariable(t *testing.T) {
	is := is.New(t)
	cfg, err := conf.Parse([]string{"-instance", "a", "-centre", "b", "-platform", "http://h,http://i", "-drain-notice", "2s"},
		[]string{"WASABI_DRAIN_NOTICE=9s", "WASABI_MAX_ACTIVE=7"}, io.Discard)
	is.NoErr(err)
	is.Equal(cfg.Notice(), 2*time.Second)
	is.Equal(cfg.MaxActive(), 7)
	is.Equal(cfg.Platform(), []string{"http://h", "http://i"})
}

func TestHelp(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	_, err := conf.Parse([]string{"-h"}, nil, &b)
	is.True(errors.Is(err, flag.ErrHelp))
	is.True(strings.Contains(b.String(), "-drain-notice"))
}
