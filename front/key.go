package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
)

// bodyField is the body field that may carry a key.
const bodyField = "api_key"

// secrets are the keys that came with one request. They live only until the
// request is authenticated and cleaned.
type secrets struct {
	all []string
}

// add takes note of a key. The first one counts.
func (s *secrets) add(v string) {
	if v = strings.TrimSpace(v); v != "" {
		s.all = append(s.all, v)
	}
}

// sum returns the SHA-256 of the key that counts, and false if there is none.
func (s *secrets) sum() (sum [32]byte, ok bool) {
	if len(s.all) == 0 {
		return sum, false
	}
	return sha256.Sum256([]byte(s.all[0])), true
}

// in reports whether v holds one of the keys.
func (s *secrets) in(v string) bool {
	for _, k := range s.all {
		if strings.Contains(v, k) {
			return true
		}
	}
	return false
}

func (s *secrets) inBytes(v []byte) bool {
	for _, k := range s.all {
		if bytes.Contains(v, []byte(k)) {
			return true
		}
	}
	return false
}

// takeKeys takes the keys out of the headers and the query of r.
func takeKeys(r *http.Request, s *secrets) {
	for _, v := range r.Header.Values("Authorization") {
		if scheme, token, ok := strings.Cut(v, " "); ok && strings.EqualFold(scheme, "Bearer") {
			s.add(token)
		}
	}
	for _, v := range r.Header.Values("X-Api-Key") {
		s.add(v)
	}
	r.Header.Del("Authorization")
	r.Header.Del("X-Api-Key")
	r.Header.Del("Proxy-Authorization")
	r.URL.RawQuery = takeQuery(r.URL.RawQuery, s)
}

// takeQuery takes the keys out of a query and leaves its other bytes alone.
func takeQuery(query string, s *secrets) string {
	if query == "" {
		return ""
	}
	var kept []string
	for _, part := range strings.FieldsFunc(query, isQuerySeparator) {
		name, value, _ := strings.Cut(part, "=")
		if plainName, err := url.QueryUnescape(name); err == nil {
			name = plainName
		}
		if !strings.EqualFold(name, "api_key") && !strings.EqualFold(name, "key") {
			kept = append(kept, part)
			continue
		}
		if plainValue, err := url.QueryUnescape(value); err == nil {
			value = plainValue
		}
		s.add(value)
	}
	return strings.Join(kept, "&")
}

func isQuerySeparator(r rune) bool { return r == '&' || r == ';' }

// takeBody takes the keys out of a body with the given content type. Other
// fields keep their bytes.
func takeBody(contentType string, body []byte, s *secrets) []byte {
	switch kind, _, _ := strings.Cut(contentType, ";"); strings.ToLower(strings.TrimSpace(kind)) {
	case "application/x-www-form-urlencoded":
		return []byte(takeQuery(string(body), s))
	default:
		return takeField(body, s)
	}
}

// takeField takes the keys out of the top level of a JSON object, whatever the
// content type says. Bodies of other forms stay as they are.
func takeField(body []byte, s *secrets) []byte {
	b := bytes.TrimSpace(body)
	if len(b) == 0 || b[0] != '{' || !bytes.Contains(bytes.ToLower(b), []byte(`api`)) {
		return body
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(b, &fields) != nil {
		return body
	}
	found := false
	for name, raw := range fields {
		if !strings.EqualFold(name, bodyField) {
			continue
		}
		found = true
		delete(fields, name)
		var v string
		if json.Unmarshal(raw, &v) == nil {
			s.add(v)
		}
	}
	if !found {
		return body
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// cleanHeaders drops the headers that repeat a key.
func cleanHeaders(h http.Header, s *secrets) {
	for name, values := range h {
		for _, v := range values {
			if s.in(v) || s.in(name) {
				delete(h, name)
				break
			}
		}
	}
}

// repeated reports whether a key stands in the path, the query or the body,
// where it can't be taken out.
func repeated(u *url.URL, body []byte, s *secrets) bool {
	if s.in(u.Path) || s.in(u.RawPath) || s.in(u.RawQuery) || s.inBytes(body) {
		return true
	}
	if q, err := url.QueryUnescape(u.RawQuery); err == nil && s.in(q) {
		return true
	}
	return false
}
