package operator

import (
	"fmt"
	"slices"

	"galenatrestle/internal/config"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// maxAffected bounds each list of affected names in a plan.
const maxAffected = 100

// affect lists the names that the changes touch.
func affect(plan *operatorv1.Plan, changes []config.Change) {
	for _, change := range changes {
		switch change.Section {
		case config.SectionWorkspace:
			plan.AffectedWorkspaces = appendBounded(plan.AffectedWorkspaces, change.Name)
		case config.SectionClass:
			plan.AffectedClasses = appendBounded(plan.AffectedClasses, change.Name)
		case config.SectionUpstream:
			plan.AffectedUpstreams = appendBounded(plan.AffectedUpstreams, change.Name)
		}
	}
}

func appendBounded(names []string, name string) []string {
	if len(names) >= maxAffected {
		return names
	}
	return append(names, name)
}

// risksOf says what the changes may cost.
func risksOf(before, after *config.Document, changes []config.Change) []*operatorv1.Risk {
	was, is := config.NewIndex(0, before), config.NewIndex(0, after)
	var risks []*operatorv1.Risk
	add := func(subject, format string, args ...any) {
		risks = append(risks, &operatorv1.Risk{Subject: subject, Message: fmt.Sprintf(format, args...)})
	}
	for _, change := range changes {
		subject := fmt.Sprintf("%s %s", change.Section, change.Name)
		if change.Action == config.ActionRemoved {
			add(subject, "removed: requests that name it are refused")
			continue
		}
		switch change.Section {
		case config.SectionUpstream:
			old, _ := was.Upstream(change.Name)
			now, _ := is.Upstream(change.Name)
			upstreamRisk(old, now, users(after, change.Name), subject, add)
		case config.SectionWorkspace:
			old, _ := was.Workspace(change.Name)
			now, _ := is.Workspace(change.Name)
			workspaceRisk(old, now, subject, add)
		}
	}
	return risks
}

type addRisk func(subject, format string, args ...any)

func upstreamRisk(old, now *config.Upstream, users int, subject string, add addRisk) {
	left := slots(now)
	if left == 0 {
		add(subject, "no replica takes work: the requests of %d workspaces are refused", users)
		return
	}
	if old == nil {
		return
	}
	if had := slots(old); left < had {
		add(subject, "capacity falls from %d to %d slots for %d workspaces", had, left, users)
	}
	for _, replica := range old.Replicas {
		removed := !slices.ContainsFunc(now.Replicas, func(r config.Replica) bool { return r.Name == replica.Name })
		if removed && !replica.Leaving {
			add(subject, "replica %s is removed without leaving first: it may have work in flight", replica.Name)
		}
	}
}

// slots returns the requests that an upstream's replicas take at a time.
func slots(upstream *config.Upstream) int {
	total := 0
	for _, replica := range upstream.Replicas {
		if !replica.Leaving {
			total += upstream.SlotsPerReplica
		}
	}
	return total
}

func users(document *config.Document, upstream string) int {
	count := 0
	for i := range document.Workspaces {
		if slices.Contains(document.Workspaces[i].Upstreams, upstream) {
			count++
		}
	}
	return count
}

func workspaceRisk(old, now *config.Workspace, subject string, add addRisk) {
	if old == nil {
		return
	}
	gone := missing(old.KeySHA256, now.KeySHA256)
	if gone > 0 {
		add(subject, "%d of its keys stop working", gone)
	}
	if missing(old.Classes, now.Classes) > 0 || missing(old.Upstreams, now.Upstreams) > 0 {
		add(subject, "it may use less than before: requests that still ask for it are refused")
	}
}

// missing counts the entries of old that now lacks.
func missing(old, now []string) int {
	count := 0
	for _, one := range old {
		if !slices.Contains(now, one) {
			count++
		}
	}
	return count
}
