package front

// TakeQuery takes the keys out of a query.
func TakeQuery(query string) (rest string, keys []string) {
	var s secrets
	rest = takeQuery(query, &s)
	return rest, s.all
}
