package operator

import (
	"cmp"
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	inspectv1 "galenatrestle/internal/gen/trestle/inspect/v1"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/membership"
)

const (
	// maxAsks bounds the nodes asked at a time.
	maxAsks = 32
	// noReport is what status says of a node that did not answer; the rest of
	// its line is then what the members last heard of it.
	noReport = "node gave no answer"
)

// tellNodes adds the members and the leases that they hold. Each node is asked
// itself; what one that gives no answer holds is not known.
func (s *Service) tellNodes(ctx context.Context, response *operatorv1.GetStatusResponse) {
	members := s.view.Members()
	reports := s.reports(ctx, members)
	for i, member := range members {
		if member.Name == s.view.Self().Name {
			member.ConfigRevision = s.current.Revision()
		}
		node := &operatorv1.Node{
			Name: member.Name, AvailabilityZone: member.AvailabilityZone, Region: member.Region,
			State: string(member.State), ConfigRevision: member.ConfigRevision, Load: member.Load,
			EntryAddress: member.EntryAddress,
		}
		if s.inspector != nil {
			node.Platform = noReport
		}
		if report := reports[i]; report != nil {
			tellReport(node, report)
			response.Leases = append(response.Leases, report.GetLeases()...)
		}
		response.Nodes = append(response.Nodes, node)
	}
	slices.SortFunc(response.Leases, func(a, b *operatorv1.Lease) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

func tellReport(node *operatorv1.Node, report *inspectv1.ReportResponse) {
	node.ConfigRevision = report.GetConfigRevision()
	node.Load = report.GetLoad()
	node.Platform = report.GetPlatform()
	if report.GetLeaving() {
		node.State = string(membership.StateLeaving)
	}
}

// reports asks the members; the report of one that gives no answer is nil.
func (s *Service) reports(ctx context.Context, members []membership.Member) []*inspectv1.ReportResponse {
	reports := make([]*inspectv1.ReportResponse, len(members))
	if s.inspector == nil {
		return reports
	}
	var asks errgroup.Group
	asks.SetLimit(maxAsks)
	for i, member := range members {
		asks.Go(func() error {
			if report, err := s.inspector.Report(ctx, member.Name, member.PeerAddress); err == nil {
				reports[i] = report
			}
			return nil
		})
	}
	_ = asks.Wait() // No ask returns an error.
	return reports
}
