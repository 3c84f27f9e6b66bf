package capacity

import (
	"fmt"
	"io"
	"strings"

	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quotashare"
)

// Share is what one role takes of a node's allowance for control, in its steady
// state. What callers' requests cause is not in it.
type Share struct {
	Role Role
	// BytesPerSecond counts both directions with framing.
	BytesPerSecond float64
	Core           float64
	Bytes          float64
	// Basis names the slopes and rates.
	Basis string
}

// messagesPerChange is the messages of a configuration change at each node, sent or received, as
// package configsync's own test counts them at 60 nodes.
const messagesPerChange = 9

// tcpAndTLS is an estimate, as membership's test makes it, of a call's bytes in
// TCP, IP and TLS, which a count on the connection leaves out.
const tcpAndTLS = 186

// lookup finds slopes by role and the beginning of their quantity.
type lookup []Slope

// at returns the value at the fleet's size, zero where it was not measured.
func (l lookup) at(role Role, quantity string) float64 {
	for _, s := range l {
		if s.Role == role && strings.HasPrefix(s.Quantity, quantity) {
			return s.AtTarget()
		}
	}
	return 0
}

// target returns the size at which the role runs.
func (l lookup) target(role Role) float64 {
	for _, s := range l {
		if s.Role == role {
			return s.Target
		}
	}
	return 0
}

// instances is the mean node's part of reading the platform's list of VMs.
func (l lookup) instances(fleet Fleet) Share {
	reader := readsOfReader * l.at(RoleInstances, "bytes")
	mean := readersPerRegion / fleet.NodesPerRegion()
	return Share{
		Role:           RoleInstances,
		BytesPerSecond: mean * reader,
		Core:           mean * readsOfReader * l.at(RoleInstances, "processor time"),
		Basis:          fmt.Sprintf("mean of all nodes; a reader, %d a region, spends %s", readersPerRegion, Quantity(reader, "B/s")),
	}
}

// Budget adds up what control takes at a node.
func Budget(fleet Fleet, slopes []Slope) []Share {
	l := lookup(slopes)
	// Each call has two ends; the measured time is that of both.
	end := l.at(RolePeerLink, "processor time") / 2
	changes := fleet.ChangesPerSecond()
	idleCalls := l.at(RoleConfiguration, "idle calls")
	memberCalls := l.at(RoleMembership, "calls")
	change := l.at(RoleConfiguration, "processor time of a small change") + l.at(RoleNode, "processor time of putting")
	return []Share{
		{
			Role:           RoleMembership,
			BytesPerSecond: l.at(RoleMembership, "bytes in and out"),
			Core:           l.at(RoleMembership, "processor time") + memberCalls*end,
			Bytes:          l.at(RoleMembership, "heap"),
			Basis:          "heartbeats, statuses of wandering loads",
		},
		{
			Role:           RoleConfiguration,
			BytesPerSecond: l.at(RoleConfiguration, "idle bytes") + idleCalls*callFraming + changes*(l.at(RoleConfiguration, "bytes a change, a node's mean")+messagesPerChange*callFraming),
			Core:           idleCalls*end + changes*(change+messagesPerChange*end),
			Bytes:          2 * l.at(RoleConfiguration, "heap of one revision"),
			Basis:          "idle pulls, changes; two revisions during a change",
		},
		l.instances(fleet),
		{
			Role:           RoleCredits,
			BytesPerSecond: l.at(RoleCredits, "bytes") + l.at(RoleCredits, "calls")*tcpAndTLS,
			Core:           l.at(RoleCredits, "processor time"),
			Basis:          "asks and grants when nothing waits",
		},
		{
			Role:           RoleWatching,
			BytesPerSecond: l.at(RoleWatching, "bytes") + l.target(RoleWatching)*tcpAndTLS,
			Core:           l.at(RoleWatching, "processor time"),
			Basis:          "load reports of the engines owned, if only those of the region are",
		},
		{
			Role:           RoleQuotas,
			BytesPerSecond: 2 * quotashare.DefaultBytesPerSecond,
			Core:           l.at(RoleQuotas, "processor time of a second"),
			Basis:          "as much received as its pace lets it send (a bound, not measured); its memory is in the whole node's",
		},
		{
			Role:           RoleQuarantine,
			BytesPerSecond: l.at(RoleQuarantine, "bytes of exchanges between nodes that have the same") + tcpAndTLS*exchangesPerSecond,
			Core:           exchangesPerSecond * end,
			Bytes:          l.at(RoleQuarantine, "heap"),
			Basis:          fmt.Sprintf("exchanges between nodes alike; heap of %d records", quarantine.DefaultMaxRecords),
		},
		{
			Role:  RoleLeaving,
			Bytes: l.at(RoleLeaving, "heap"),
			Basis: "all replicas of the region leave; its notes travel on heartbeats",
		},
		{
			Role:  RoleDecisions,
			Bytes: float64(fleet.Models) * l.at(RoleDecisions, "heap of the length estimates"),
			Basis: "length estimates of all models at their bound",
		},
		{
			Role:  RoleNode,
			Bytes: max(l.at(RoleNode, "heap with all replicas")-l.at(RoleConfiguration, "heap of one revision"), 0),
			Basis: "whole configured node without its revision",
		},
	}
}

// WriteBudget writes the shares and their sum as a table in Markdown.
func WriteBudget(w io.Writer, allowed Allowance, shares []Share) error {
	rows := []string{
		"| role | bytes a second | part of a core | memory | what |",
		"|---|---|---|---|---|",
	}
	sum := Share{Role: "sum"}
	for _, s := range shares {
		rows = append(rows, shareRow(s))
		sum.BytesPerSecond += s.BytesPerSecond
		sum.Core += s.Core
		sum.Bytes += s.Bytes
	}
	sum.Basis = fmt.Sprintf("%.0f%%, %.0f%% and %.0f%% of what is allowed",
		100*sum.BytesPerSecond/allowed.BytesPerSecond, 100*sum.Core/allowed.Core, 100*sum.Bytes/allowed.Bytes)
	rows = append(rows, shareRow(sum))
	_, err := io.WriteString(w, strings.Join(rows, "\n")+"\n")
	return err
}

func shareRow(s Share) string {
	return fmt.Sprintf("| %s | %s | %.3f%% | %s | %s |", s.Role, Quantity(s.BytesPerSecond, "B/s"), 100*s.Core, Quantity(s.Bytes, "B"), s.Basis)
}
