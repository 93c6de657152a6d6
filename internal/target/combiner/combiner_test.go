package combiner_test

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"apricotflow/internal/target/combiner"
)

func merge(maxRecords int, parts [][]byte) []byte {
	c := combiner.New(maxRecords)
	for _, part := range parts {
		c.Add(part)
	}
	return c.Bytes()
}

// Guards against wrong or missing records: the result must match sorting all records by their bytes, for any parts
// including equal records and remainders.
func TestMergeMatchesSortingAllRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 1, 5).Draw(t, "parts")
		maxRecords := rapid.IntRange(0, 8).Draw(t, "top")
		var all [][]byte
		for _, part := range parts {
			for chunk := range slices.Chunk(part, 16) {
				if len(chunk) == 16 {
					all = append(all, chunk)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(maxRecords, len(all))], nil)
		if got := merge(maxRecords, parts); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// Guards against losing records when instances merge parts for each other: two steps must give the same records as
// one.
func TestMergingInTwoStepsMatchesMergingInOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 1, 6).Draw(t, "parts")
		maxRecords := rapid.IntRange(0, 8).Draw(t, "top")
		cut := rapid.IntRange(0, len(parts)).Draw(t, "cut")
		steps := [][]byte{merge(maxRecords, parts[:cut]), merge(maxRecords, parts[cut:])}
		if got, want := merge(maxRecords, steps), merge(maxRecords, parts); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
