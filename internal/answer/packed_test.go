package answer

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPackedGivesBackWhatWasAdded adds arbitrary events, many of them alike.
func TestPackedGivesBackWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "base")
		var p packed
		var want [][]byte
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			data := append([]byte(nil), base...)
			if rapid.Bool().Draw(t, "other") {
				at := rapid.IntRange(0, len(data)).Draw(t, "at")
				own := rapid.SliceOfN(rapid.Byte(), 0, 90).Draw(t, "own")
				data = append(append(append([]byte(nil), data[:at]...), own...), data[at:]...)
			}
			p.add(data)
			want = append(want, data)
		}
		from := rapid.IntRange(0, len(want)).Draw(t, "from")
		for i, event := range p.after(int64(from)) {
			if event.ID != int64(from+i+1) || !bytes.Equal(event.Data, want[from+i]) {
				t.Fatalf("event %d is %q, want %q", event.ID, event.Data, want[from+i])
			}
		}
	})
}

// chunk is the i-th event of an answer as engines send it.
func chunk(i int) string {
	return fmt.Sprintf(`{"id":"chatcmpl-vm-0.ABCDEFGHIJKLMNOPQRSTUVWXYZ.1","object":"chat.completion.chunk",`+
		`"created":1796237551,"model":"trestle-llm","choices":[{"index":0,"delta":{"content":" word%d"},"finish_reason":null}]}`, i)
}

// TestChunksOfAnAnswerPackSmall checks the point of packing on chunks as
// engines send them.
func TestChunksOfAnAnswerPackSmall(t *testing.T) {
	var p packed
	raw, cost := 0, int64(0)
	for i := range 500 {
		raw += len(chunk(i))
		cost += p.add([]byte(chunk(i)))
	}
	if cost*8 > int64(raw) {
		t.Errorf("%d bytes packed to %d, want at most an eighth", raw, cost)
	}
}
