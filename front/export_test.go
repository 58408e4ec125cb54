package front

// TakeQuery takes the keys out of a query.
func ExtractQueryKeys(query string) (rest string, keys []string) {
	var s apiKeys
	rest = extractQueryKeys(query, &s)
	return rest, s.all
}

// ParseChat returns the prompt of a request's body.
func ParseChat(body string) (prompt string, err error) {
	q, err := parseChat([]byte(body))
	return q.prompt(), err
}
