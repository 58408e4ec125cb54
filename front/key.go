package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
)

// bodyKeyField is the body field that may contain an API key.
const bodyKeyField = "api_key"

// apiKeys holds the API keys found in one request. It is cleared once the request
// is authenticated and stripped of its keys.
type apiKeys struct {
	all []string
}

// add appends a key, without surrounding space, unless it is empty. Only the
// first key is used for authentication.
func (s *apiKeys) add(v string) {
	if v = strings.TrimSpace(v); v != "" {
		s.all = append(s.all, v)
	}
}

// sum returns the SHA-256 of the first key, and false if there is none.
func (s *apiKeys) sum() (sum [32]byte, ok bool) {
	if len(s.all) == 0 {
		return sum, false
	}
	return sha256.Sum256([]byte(s.all[0])), true
}

// foundIn reports whether v contains one of the keys.
func (s *apiKeys) foundIn(v string) bool {
	for _, k := range s.all {
		if strings.Contains(v, k) {
			return true
		}
	}
	return false
}

func (s *apiKeys) foundInBytes(v []byte) bool {
	for _, k := range s.all {
		if bytes.Contains(v, []byte(k)) {
			return true
		}
	}
	return false
}

// extractKeys moves the keys from the headers and the query of r to s.
func extractKeys(r *http.Request, s *apiKeys) {
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
	r.URL.RawQuery = extractQueryKeys(r.URL.RawQuery, s)
}

// extractQueryKeys moves the keys from a query to s and returns the rest of the
// query. The other parameters keep their bytes.
func extractQueryKeys(query string, s *apiKeys) string {
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

// extractBodyKeys moves the keys from a body of the given content type to s and
// returns the rest of the body. Other fields keep their bytes.
func extractBodyKeys(contentType string, body []byte, s *apiKeys) []byte {
	switch kind, _, _ := strings.Cut(contentType, ";"); strings.ToLower(strings.TrimSpace(kind)) {
	case "application/x-www-form-urlencoded":
		return []byte(extractQueryKeys(string(body), s))
	default:
		return extractFieldKeys(body, s)
	}
}

// extractFieldKeys moves the keys from the top level of a JSON object to s,
// whatever the content type, and returns the rest of the body. A body that is no
// JSON object is returned unchanged.
func extractFieldKeys(body []byte, s *apiKeys) []byte {
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
		if !strings.EqualFold(name, bodyKeyField) {
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

// removeLeakingHeaders deletes the headers whose name or value contains a key.
func removeLeakingHeaders(h http.Header, s *apiKeys) {
	for name, values := range h {
		for _, v := range values {
			if s.foundIn(v) || s.foundIn(name) {
				delete(h, name)
				break
			}
		}
	}
}

// repeatsKey reports whether the path, the query or the body contains a key in a
// place from which it cannot be removed.
func repeatsKey(u *url.URL, body []byte, s *apiKeys) bool {
	if s.foundIn(u.Path) || s.foundIn(u.RawPath) || s.foundIn(u.RawQuery) || s.foundInBytes(body) {
		return true
	}
	if q, err := url.QueryUnescape(u.RawQuery); err == nil && s.foundIn(q) {
		return true
	}
	return false
}
