package router

import (
	"slices"
	"time"
)

// SetReplicas puts a new list of replicas in force. A replica that is no longer
// listed gets nothing new and is forgotten when its last request has ended.
func (p *Pool) SetReplicas(now time.Time, replicas []Replica) {
	listed := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		listed[replica.Name] = true
		p.setReplica(replica)
	}
	for _, r := range p.order {
		r.removed = !listed[r.Name]
	}
	p.forgetRemoved()
	p.changedAt = now
}

func (p *Pool) setReplica(replica Replica) {
	fresh := newReplicaState(replica, p.rand.Float64())
	known, ok := p.replicas[replica.Name]
	if ok {
		if known.Slots != fresh.Slots {
			known.learned = fresh.learned
		}
		known.Replica = fresh.Replica
		return
	}
	p.replicas[replica.Name] = fresh
	p.order = append(p.order, fresh)
}

func (p *Pool) forgetRemoved() {
	if !slices.ContainsFunc(p.order, (*replicaState).forgettable) {
		return
	}
	p.order = slices.DeleteFunc(p.order, func(r *replicaState) bool {
		if r.forgettable() {
			delete(p.replicas, r.Name)
			return true
		}
		return false
	})
}

// SetLeaving marks a replica that announced its leaving, or takes the mark off.
// The configuration's own mark holds besides.
func (p *Pool) SetLeaving(now time.Time, replica string, leaving bool) {
	r, ok := p.replicas[replica]
	if !ok {
		return
	}
	r.announced = leaving
	p.changedAt = now
}

// SetAllowance sets the slots that the replica's owner gave to this node.
// Negative: this node's own limit alone counts. Call Next afterwards.
func (p *Pool) SetAllowance(replica string, slots int) {
	if r, ok := p.replicas[replica]; ok {
		r.allowance = slots
	}
}

// RecordLoad takes in a replica's own load report; an older one than the last is
// dropped.
func (p *Pool) RecordLoad(_ time.Time, replica string, load LoadReport) {
	r, ok := p.replicas[replica]
	if !ok || load.At.Before(r.report.At) {
		return
	}
	r.report = load
}
