package clairvoyant

import "time"

// slotTimes holds when each slot comes free, the earliest first. It implements
// heap.Interface.
type slotTimes []time.Duration

func (s slotTimes) Len() int           { return len(s) }
func (s slotTimes) Less(i, j int) bool { return s[i] < s[j] }
func (s slotTimes) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push is never called: the number of slots is fixed.
func (s *slotTimes) Push(x any) { *s = append(*s, x.(time.Duration)) }

// Pop is never called: the number of slots is fixed.
func (s *slotTimes) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
