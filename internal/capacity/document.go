package capacity

import (
	"fmt"
	"time"

	"galenatrestle/internal/config"
)

const (
	keysPerWorkspace = 2
	slotsPerReplica  = 8
	zonesPerRegion   = 3
)

// document returns a canonical document of so many workspaces with two keys
// each, and replicas spread over the fleet's models.
func document(fleet Fleet, workspaces, replicas int) *config.Document {
	d := &config.Document{}
	for i := range fleet.Tiers {
		d.Classes = append(d.Classes, config.Class{
			Name: className(i), Tier: i, QueueBound: 1000, MinShareAfter: config.Duration(10 * time.Second),
			TargetAnswer: config.Duration(10 * time.Second), GiveUpAfter: config.Duration(20 * time.Second),
			Retention: config.Duration(time.Minute),
		})
	}
	for i := range fleet.Models {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name: modelName(i), Model: modelName(i), Kind: config.KindEngine, SlotsPerReplica: slotsPerReplica,
		})
	}
	for i := range replicas {
		u := &d.Upstreams[i%fleet.Models]
		u.Replicas = append(u.Replicas, config.Replica{
			Name: fmt.Sprintf("%s-%d", u.Name, len(u.Replicas)), Address: fmt.Sprintf("10.%d.%d.1:8000", i%fleet.Models, i/fleet.Models),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%zonesPerRegion),
		})
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, workspace(i))
	}
	return config.Canonical(d)
}

func className(i int) string { return fmt.Sprintf("class-%d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func workspaceName(i int) string { return fmt.Sprintf("workspace-%05d", i) }

func workspace(i int) config.Workspace {
	name := workspaceName(i)
	var keys []string
	for k := range keysPerWorkspace {
		keys = append(keys, config.HashKey(fmt.Sprintf("%s/%d", name, k)))
	}
	return config.Workspace{
		Name: name, KeySHA256: keys, Classes: []string{className(0), className(3)},
		Upstreams: []string{modelName(1), modelName(2)}, Weight: 1,
		Quota: config.Quota{RequestsPerSecond: 10, TokensPerSecond: 5000, Burst: 2},
	}
}

// changed returns the document with another weight for one workspace.
func changed(d *config.Document, weight float64) *config.Document {
	next := config.Canonical(d)
	next.Workspaces[len(next.Workspaces)/2].Weight = weight
	return next
}
