package replica

import (
	"fmt"
	"testing"
)

// BenchmarkUpdateOneReplica measures taking in a delta with one changed replica, as a hub does.
func BenchmarkUpdateOneReplica(b *testing.B) {
	for _, size := range []int{90, 1000, 10000, 20000} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			s := NewSet()
			s.Update(zonedListing(1, size/5, "a", "b", "c", "d", "e"), at(0), at(0))
			b.ReportAllocs()
			for i := range b.N {
				own, _ := s.Latest()
				changed := own.Replicas[i%len(own.Replicas)]
				changed.Slots++
				delta := Delta{From: own.Digest, Changed: []Replica{changed}}
				replicas := delta.Apply(own.Replicas)
				s.Update(Listing{Revision: int64(i + 2), Replicas: replicas, Digest: Digest(replicas)}, at(i), at(i))
			}
		})
	}
}

// BenchmarkConfirmListing measures an exchange that confirms the current listing, as a hub has hundreds
// of in a second.
func BenchmarkConfirmListing(b *testing.B) {
	s := NewSet()
	s.Update(zonedListing(1, 2000, "a", "b", "c", "d", "e"), at(0), at(0))
	for i := range b.N {
		own, _ := s.Latest()
		own.Revision++
		s.Update(own, at(i), at(i))
	}
}
