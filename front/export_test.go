package front

// ExtractQueryKeys returns a query without its API keys, and the keys.
func ExtractQueryKeys(query string) (rest string, keys []string) {
	var s apiKeys
	rest = extractQueryKeys(query, &s)
	return rest, s.all
}

// ParseChat returns the prompt of a chat completion request with this body.
func ParseChat(body string) (prompt string, err error) {
	q, err := parseChat([]byte(body))
	return q.prompt(), err
}
