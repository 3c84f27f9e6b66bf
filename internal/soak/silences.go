package soak

import (
	"slices"
	"time"
)

// silenceReplicas has all replicas neither begin nor go on with calls for the event's time.
func (w *world) silenceReplicas(e event) {
	w.silencing.Lock()
	defer w.silencing.Unlock()
	w.mu.Lock()
	silent := slices.Clone(w.replicas)
	w.mu.Unlock()
	for _, r := range silent {
		r.handler.SetSilent(true)
	}
	time.Sleep(e.lasts)
	for _, r := range silent {
		r.handler.SetSilent(false)
	}
}

// silence has a sound replica say nothing for the event's time and go on: nothing is lost.
func (w *world) silence(r *runningReplica, e event) {
	r.proxy.set(stall)
	w.pauseThen(e.lasts, func() { r.proxy.set(pass) })
}

// silentLasts is how long a sound replica says nothing.
const silentLasts = time.Second
