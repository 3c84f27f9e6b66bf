package router

import (
	"slices"
	"time"
)

// SetReplicas replaces the replicas. A removed replica gets no new requests and is deleted when
// its last request has ended.
func (p *Pool) SetReplicas(now time.Time, replicas []Replica) {
	listed := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		listed[replica.Name] = true
		p.setReplica(replica)
	}
	for _, r := range p.orderedReplicas {
		r.removed = !listed[r.Name]
	}
	p.deleteRemovedReplicas()
	p.changedAt = now
}

func (p *Pool) setReplica(replica Replica) {
	created := newReplicaState(replica, p.rand.Float64())
	existing, ok := p.replicas[replica.Name]
	if ok {
		if existing.Slots != created.Slots {
			existing.learnedLimit = created.learnedLimit
		}
		existing.Replica = created.Replica
		return
	}
	p.replicas[replica.Name] = created
	p.orderedReplicas = append(p.orderedReplicas, created)
}

func (p *Pool) deleteRemovedReplicas() {
	if !slices.ContainsFunc(p.orderedReplicas, (*replicaState).removable) {
		return
	}
	p.orderedReplicas = slices.DeleteFunc(p.orderedReplicas, func(r *replicaState) bool {
		if r.removable() {
			delete(p.replicas, r.Name)
			return true
		}
		return false
	})
}

// SetLeaving records whether a replica has announced that it is leaving. Replica.Leaving is
// independent of it.
func (p *Pool) SetLeaving(now time.Time, replica string, leaving bool) {
	r, ok := p.replicas[replica]
	if !ok {
		return
	}
	r.announcedLeaving = leaving
	p.changedAt = now
}

// Pause keeps new requests from a replica until the given time. A pause that ends later remains.
func (p *Pool) Pause(now time.Time, replica string, until time.Time) {
	r, ok := p.replicas[replica]
	if !ok || !until.After(r.pausedUntil) {
		return
	}
	r.pausedUntil = until
	p.changedAt = now
}

// SetAllowance sets the slots granted to this node by the node that owns the replica. If negative,
// only this node's own limit counts. The caller must call Decide afterwards.
func (p *Pool) SetAllowance(replica string, slots int) {
	if r, ok := p.replicas[replica]; ok {
		r.allowance = slots
	}
}

// RecordLoad stores a load report unless a newer one is known.
func (p *Pool) RecordLoad(_ time.Time, replica string, load LoadReport) {
	r, ok := p.replicas[replica]
	if !ok || load.At.Before(r.lastReport.At) {
		return
	}
	r.lastReport = load
}
