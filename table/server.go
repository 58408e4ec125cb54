package table

import (
	"regexp"
	"strings"
	"time"

	"wasabidock.dev/dock/ident"
)

func addServer(t *Table, d cells) {
	s := Server{
		Name:    ident.Server(d.name("name")),
		Centre:  ident.Centre(d.name("centre")),
		Kind:    Kind(d.text("kind")),
		Address: d.address("address"),
	}
	switch s.Kind {
	case Engine:
		d.engine(&s)
	case Service:
		d.service(&s)
	default:
		d.fault("kind", quote(string(s.Kind))+" must be engine or service")
	}
	t.servers = append(t.servers, s)
}

func (d cells) engine(s *Server) {
	s.Role = d.role("role")
	s.Model = ident.Model(d.name("model"))
	s.Link = d.count("link", 1, maxBytes)
	s.Fenced = d.maybeFlag("fenced")
	s.Orders = d.maybeFlag("orders")
	if s.Role == Decode || s.Orders {
		s.Places = int(d.count("places", 1, maxPlaces))
	}
	if s.Role == Prefill || s.Orders {
		s.Rate = d.count("rate", 1, maxTokens)
	}
	s.TokenGap = d.maybeSpan("token_gap", minTarget, maxTarget, defaultTokenGap)
	d.empty("service", "an engine belongs to no service")
}

func (d cells) service(s *Server) {
	s.Service = d.name("service")
	for _, column := range []string{"role", "model", "rate", "link", "token_gap"} {
		d.empty(column, "a plain service has none")
	}
	if d.maybeFlag("orders") {
		d.fault("orders", "a plain service takes no orders")
	}
	if d.text("places") != "" {
		s.Places = int(d.count("places", 1, maxPlaces))
	}
}

func (d cells) role(column string) Role {
	r := Role(d.text(column))
	if r != Prefill && r != Decode {
		d.fault(column, quote(string(r))+" must be prefill or decode")
	}
	return r
}

// maybeFlag decodes yes or no and takes an empty cell as no.
func (d cells) maybeFlag(column string) bool {
	return d.text(column) != "" && d.flag(column)
}

func (d cells) empty(column, reason string) {
	if d.text(column) != "" {
		d.fault(column, "must be empty: "+reason)
	}
}

// ownPaths are the prefixes that the router answers itself.
var ownPaths = []string{"/v1/chat/completions", "/v1/models", "/livez", "/readyz", "/metrics"}

func addRoute(t *Table, d cells) {
	r := Route{
		Name:       ident.Route(d.name("name")),
		Prefix:     d.text("prefix"),
		Service:    d.name("service"),
		Open:       d.flag("open"),
		Idempotent: d.flag("idempotent"),
		Timeout:    d.span("timeout", minTarget, maxTimeout),
		BodyLimit:  d.count("body_limit", 0, maxBody),
		Home:       ident.Centre(d.maybe("home")),
		Status:     d.text("status"),
	}
	d.prefix(r.Prefix)
	if r.Status != "" && !prefixPattern.MatchString(r.Status) {
		d.fault("status", quote(r.Status)+" must be a plain path that starts with /")
	}
	if !r.Idempotent || d.text("key_age") != "" {
		r.KeyAge = d.span("key_age", time.Second, maxKeyAge)
	}
	t.routes = append(t.routes, r)
}

var prefixPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~-]{0,200}$`)

func (d cells) prefix(p string) {
	if !prefixPattern.MatchString(p) || strings.Contains(p, "//") || strings.Contains(p, "/.") {
		d.fault("prefix", quote(p)+" must be a plain path that starts with /")
		return
	}
	for _, own := range ownPaths {
		if (Route{Prefix: own}).covers(p) {
			d.fault("prefix", quote(p)+" is answered by the router itself")
		}
	}
}
