// Package plat reads and watches the published values of the platform's
// configuration service. It is the only package that knows the wire form.
//
// # Usage
//
//	c := plat.New(plat.Config{URL: "http://10.0.0.2:9000", Timer: timer, Random: random})
//	v, err := c.Read(ctx, "table/head")
//	v, err = c.Watch(ctx, "table/head", v.Revision, 20*time.Second)
//	if errors.Is(err, plat.ErrUnchanged) {
//		// watch again
//	}
//
// # Behaviour
//
// Each call uses a connection of its own, because nothing in an answer tells
// which call it is to: on a kept connection an earlier answer that comes once
// more could pass for the value of another name. A call that makes no progress
// within its deadline is given up. Calls that the service turns down over its budget come
// back as ErrBusy; Backoff spreads the retries. Reads carry no credentials of
// customers. A Client is safe for concurrent use.
package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

var (
	// ErrUnchanged reports that a watched value did not change in time.
	ErrUnchanged = errors.New("unchanged")
	// ErrMissing reports a value that the service does not have.
	ErrMissing = errors.New("no such value")
	// ErrBusy reports that the service's budget of calls is spent.
	ErrBusy = errors.New("over the budget of calls")
	// ErrSilent reports a call that made no progress.
	ErrSilent = errors.New("no progress")
)

// Value is a published value with its revision.
type Value struct {
	Data     []byte
	Revision uint64
}

// Config configures a Client.
type Config struct {
	URL    string
	Timer  tick.Clock
	Silent time.Duration // longest time without an answer, default 2 s
}

const (
	defaultSilent = 2 * time.Second
	// maxValueBytes is the largest value that the service holds.
	maxValueBytes  = 1 << 20
	revisionHeader = "Revision"
)

// Client is a client of the configuration service.
type Client struct {
	cfg       Config
	transport *http.Transport
	http      *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Silent == 0 {
		cfg.Silent = defaultSilent
	}
	tr := &http.Transport{DisableKeepAlives: true}
	return &Client{cfg: cfg, transport: tr, http: &http.Client{Transport: tr}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the value of the given name.
func (c *Client) Read(ctx context.Context, name string) (Value, error) {
	return c.call(ctx, "plat: read", "/v1/value/"+escape(name), c.cfg.Silent)
}

// Watch waits until the value has a revision after the given one. It returns
// ErrUnchanged at the end of the wait.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.call(ctx, "plat: watch", "/v1/watch/"+escape(name)+"?"+q.Encode(), wait+c.cfg.Silent)
}

func escape(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

func (c *Client) call(ctx context.Context, step, path string, limit time.Duration) (Value, error) {
	limited, stop := tick.WithTimeout(ctx, c.cfg.Timer, limit, ErrSilent)
	defer stop()
	v, err := c.get(limited, path)
	if err == nil {
		return v, nil
	}
	if cause := context.Cause(limited); cause != nil {
		err = cause
	}
	return Value{}, fail.New(step, c.cfg.URL, ident.Done, err)
}

func (c *Client) get(ctx context.Context, path string) (Value, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.URL+path, http.NoBody)
	if err != nil {
		return Value{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return Value{}, ErrUnchanged
	case http.StatusNotFound:
		return Value{}, ErrMissing
	case http.StatusTooManyRequests:
		return Value{}, ErrBusy
	default:
		return Value{}, errors.Errorf("status %d", resp.StatusCode)
	}
	if len(body) > maxValueBytes {
		return Value{}, errors.Errorf("value is larger than %d bytes", maxValueBytes)
	}
	rev, err := strconv.ParseUint(resp.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Wrap(err, "revision")
	}
	return Value{Data: body, Revision: rev}, nil
}

// The names of the platform's own lists.
const (
	InstancesName = "instances"
	ServersName   = "servers"
)

// Instance is one row of the list of instances.
type Instance struct {
	Instance ident.Instance `json:"instance"`
	Address  string         `json:"address"`
	Centre   ident.Centre   `json:"centre"`
	State    string         `json:"state"`
}

// Server is one row of the list of backend servers.
type Server struct {
	Server ident.Server `json:"server"`
	State  string       `json:"state"`
}

// DepartingState is the state of an instance or server that departs.
const DepartingState = "departing"

// ParseInstances reads the list of instances.
func ParseInstances(data []byte) ([]Instance, error) {
	var list []Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "plat: list of instances")
	}
	return list, nil
}

// ParseServers reads the list of backend servers.
func ParseServers(data []byte) ([]Server, error) {
	var list []Server
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "plat: list of servers")
	}
	return list, nil
}
