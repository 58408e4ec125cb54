package conf

import (
	"flag"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

const envPrefix = "WASABI"

// Config is the checked settings of one daemon.
type Config struct {
	instance    string
	centre      string
	listen      string
	peerListen  string
	advertise   string
	adminListen string
	debugListen string
	platform    string
	seeds       string
	logLevel    string
	cert        string
	certKey     string
	peerCert    string
	peerKey     string
	peerCA      string
	notice      time.Duration
	slow        time.Duration
	leaseLife   time.Duration
	maxActive   int
}

// Instance returns the seat that the process holds.
func (c *Config) Instance() ident.Instance { return ident.Instance(c.instance) }

// Centre returns the data centre in which the process runs.
func (c *Config) Centre() ident.Centre { return ident.Centre(c.centre) }

// Listen returns the callers' address, host:port.
func (c *Config) Listen() string { return c.listen }

// PeerListen returns the address on which peers are answered.
func (c *Config) PeerListen() string { return c.peerListen }

// Advertise returns the address that peers are told, or the empty string for
// the address on which they are answered.
func (c *Config) Advertise() string { return c.advertise }

// AdminListen returns the address of readiness, liveness and metrics.
func (c *Config) AdminListen() string { return c.adminListen }

// DebugListen returns the address of the profiler, empty if it is off.
func (c *Config) DebugListen() string { return c.debugListen }

// Platform returns the base URLs of the platform's configuration service.
func (c *Config) Platform() []string { return splitList(c.platform) }

// Seed is an instance of the own data centre that is asked when the platform
// does not answer.
type Seed struct {
	Instance ident.Instance
	Address  string // host:port for peers
}

// Seeds returns the instances that are asked when the platform does not answer.
func (c *Config) Seeds() []Seed {
	var list []Seed
	for _, s := range splitList(c.seeds) {
		name, addr, _ := strings.Cut(s, "=")
		list = append(list, Seed{Instance: ident.Instance(name), Address: addr})
	}
	return list
}

// LogLevel returns one of debug, info, warn and error.
func (c *Config) LogLevel() string { return c.logLevel }

// Cert and CertKey return the callers' certificate and key, PEM or a path.
func (c *Config) Cert() string { return c.cert }

// CertKey returns the key of the callers' certificate, PEM or a path.
func (c *Config) CertKey() string { return c.certKey }

// PeerCert returns the certificate towards peers, PEM or a path.
func (c *Config) PeerCert() string { return c.peerCert }

// PeerKey returns the key of the certificate towards peers, PEM or a path.
func (c *Config) PeerKey() string { return c.peerKey }

// PeerCA returns the authority that signs peers' certificates, PEM or a path.
func (c *Config) PeerCA() string { return c.peerCA }

// Notice returns how long a stopping daemon goes on accepting, so that the
// balancer can notice.
func (c *Config) Notice() time.Duration { return c.notice }

// Slow returns the time after which a caller that reads nothing is given up.
func (c *Config) Slow() time.Duration { return c.slow }

// LeaseLife returns the longest life of a lease of shares. It must be the same
// in the whole fleet.
func (c *Config) LeaseLife() time.Duration { return c.leaseLife }

// MaxActive returns the bound on requests in progress.
func (c *Config) MaxActive() int { return c.maxActive }

// Parse reads args and environ ("NAME=value") and checks every setting. Help
// goes to w. Its error lists all faults, one a line; flag.ErrHelp means that
// help was asked for.
func Parse(args, environ []string, w io.Writer) (*Config, error) {
	cfg := &Config{}
	fs := cfg.flags(w)
	if err := applyEnviron(fs, environ); err != nil {
		return nil, err
	}
	if err := ff.Parse(fs, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, flag.ErrHelp
		}
		return nil, errors.Wrap(err, "settings")
	}
	faults := cfg.check()
	if fs.NArg() > 0 {
		faults = append(faults, "unexpected argument "+strconv.Quote(fs.Arg(0)))
	}
	if len(faults) > 0 {
		return nil, errors.Errorf("settings: %d faults:\n  %s", len(faults), strings.Join(faults, "\n  "))
	}
	return cfg, nil
}

func (c *Config) flags(w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("wasabid", flag.ContinueOnError)
	fs.SetOutput(w)
	fs.StringVar(&c.instance, "instance", "", "`name` of the seat in the table that this process holds (required)")
	fs.StringVar(&c.centre, "centre", "", "`name` of the data centre in which it runs (required)")
	fs.StringVar(&c.listen, "listen", ":8080", "`address` for callers")
	fs.StringVar(&c.peerListen, "peer-listen", ":8081", "`address` for the other instances")
	fs.StringVar(&c.advertise, "advertise", "", "`address` that the other instances are told; the peer address if empty")
	fs.StringVar(&c.adminListen, "admin-listen", ":8082", "`address` of /livez, /readyz and /metrics")
	fs.StringVar(&c.debugListen, "debug-listen", "", "`address` of the profiler; off if empty")
	fs.StringVar(&c.platform, "platform", "", "comma-separated base `URLs` of the configuration service (required)")
	fs.StringVar(&c.seeds, "seeds", "", "comma-separated `NAME=HOST:PORT` of instances of the data centre to ask when the platform does not answer")
	fs.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error; decision lines are written at every `level`")
	fs.StringVar(&c.cert, "tls-cert", "", "certificate towards callers, PEM or `file`; plain HTTP if empty")
	fs.StringVar(&c.certKey, "tls-key", "", "key of -tls-cert, PEM or `file`")
	fs.StringVar(&c.peerCert, "peer-cert", "", "certificate towards peers, PEM or `file`; plain HTTP/2 if empty")
	fs.StringVar(&c.peerKey, "peer-key", "", "key of -peer-cert, PEM or `file`")
	fs.StringVar(&c.peerCA, "peer-ca", "", "authority that signs the peers' certificates, PEM or `file`")
	fs.DurationVar(&c.notice, "drain-notice", 5*time.Second, "`time` to go on accepting after the signal to stop")
	fs.DurationVar(&c.slow, "slow-caller", 30*time.Second, "`time` after which a caller that reads nothing is given up")
	fs.DurationVar(&c.leaseLife, "lease-life", limit.DefaultMaxLeaseTTL, "longest `life` of a lease of shares, the same in the whole fleet; 200ms for each seat of the largest data centre, and not less than the default")
	fs.IntVar(&c.maxActive, "max-active", 4096, "largest `number` of requests in progress")
	return fs
}

func (c *Config) check() []string {
	var faults []string
	add := func(name, fault string) { faults = append(faults, "-"+name+": "+fault) }
	if c.instance == "" {
		add("instance", "is required")
	}
	if c.centre == "" {
		add("centre", "is required")
	}
	checkAddress(add, "listen", c.listen, false)
	checkAddress(add, "peer-listen", c.peerListen, false)
	checkAddress(add, "admin-listen", c.adminListen, false)
	checkAddress(add, "advertise", c.advertise, true)
	checkAddress(add, "debug-listen", c.debugListen, true)
	if len(c.Platform()) == 0 {
		add("platform", "is required")
	}
	for _, u := range c.Platform() {
		if p, err := url.Parse(u); err != nil || p.Host == "" || (p.Scheme != "http" && p.Scheme != "https") {
			add("platform", strconv.Quote(u)+" is not an http or https URL")
		}
	}
	for _, s := range c.Seeds() {
		if s.Instance == "" || s.Address == "" {
			add("seeds", "each must be NAME=HOST:PORT")
			continue
		}
		checkAddress(add, "seeds", s.Address, false)
	}
	switch c.logLevel {
	case "debug", "info", "warn", "error":
	default:
		add("log-level", strconv.Quote(c.logLevel)+" is not one of debug, info, warn, error")
	}
	checkTogether(add, []string{"tls-cert", "tls-key"}, []string{c.cert, c.certKey})
	checkTogether(add, []string{"peer-cert", "peer-key", "peer-ca"}, []string{c.peerCert, c.peerKey, c.peerCA})
	checkRange(add, "drain-notice", c.notice, 0, 10*time.Minute)
	checkRange(add, "slow-caller", c.slow, time.Second, time.Hour)
	checkRange(add, "lease-life", c.leaseLife, limit.DefaultMaxLeaseTTL, time.Minute)
	if c.maxActive < 1 || c.maxActive > 1<<20 {
		add("max-active", strconv.Itoa(c.maxActive)+" is not between 1 and 1048576")
	}
	return faults
}

func checkAddress(add func(name, fault string), name, addr string, optional bool) {
	if addr == "" && optional {
		return
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		add(name, strconv.Quote(addr)+" is not host:port")
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		add(name, strconv.Quote(addr)+" has no port between 0 and 65535")
	}
}

func checkTogether(add func(name, fault string), names, values []string) {
	set := 0
	for _, v := range values {
		if v != "" {
			set++
		}
	}
	if set == 0 || set == len(values) {
		return
	}
	for i, v := range values {
		if v == "" {
			add(names[i], "is required with -"+strings.Join(names, ", -"))
		}
	}
}

func checkRange(add func(name, fault string), name string, d, least, most time.Duration) {
	if d < least || d > most {
		add(name, d.String()+" is not between "+least.String()+" and "+most.String())
	}
}

// applyEnviron sets each flag whose variable is in environ.
func applyEnviron(fs *flag.FlagSet, environ []string) error {
	vars := make(map[string]string, len(environ))
	for _, kv := range environ {
		if k, v, ok := strings.Cut(kv, "="); ok {
			vars[k] = v
		}
	}
	var faults []string
	fs.VisitAll(func(f *flag.Flag) {
		name := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		v, ok := vars[name]
		if !ok {
			return
		}
		if err := fs.Set(f.Name, v); err != nil {
			faults = append(faults, name+": "+err.Error())
		}
	})
	if len(faults) > 0 {
		return errors.Errorf("settings: %d faults:\n  %s", len(faults), strings.Join(faults, "\n  "))
	}
	return nil
}

func splitList(s string) []string {
	var list []string
	for _, v := range strings.Split(s, ",") {
		if v = strings.TrimSpace(v); v != "" {
			list = append(list, v)
		}
	}
	return list
}
