package capacity

import (
	"github.com/prometheus/client_golang/prometheus"
)

// messages counts messages and their bytes, sent or received.
type messages struct{ messages, bytes float64 }

func (m messages) minus(other messages) messages {
	return messages{messages: m.messages - other.messages, bytes: m.bytes - other.bytes}
}

// The counters of package configsync.
const (
	configMessages = "trestle_config_messages_total"
	configBytes    = "trestle_config_bytes_total"
)

// spent returns what the named node, or all for an empty name, has counted.
func (s *spreadNet) spent(name string) messages {
	var sum messages
	for _, node := range s.nodes {
		if name != "" && node.self.Name != name {
			continue
		}
		sum.messages += counted(node.registry, configMessages)
		sum.bytes += counted(node.registry, configBytes)
	}
	return sum
}

// counted returns the sum of a counter over all its labels.
func counted(registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		panic(err)
	}
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}
