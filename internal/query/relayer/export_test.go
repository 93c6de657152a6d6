package relayer

// Merge returns the greatest records of parts.
func Merge(top int, parts [][]byte) []byte {
	m := newMerger(top)
	for _, part := range parts {
		m.add(part)
	}
	return m.bytes()
}
