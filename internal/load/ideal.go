package load

import (
	"strings"
	"time"

	"galenatrestle/internal/load/clairvoyant"
)

// Ideal describes the engines that a clairvoyant order fills.
type Ideal struct {
	// Slots is the number of answers that all engines make at a time.
	Slots int
	// TokenInterval and PrefillPerToken are the engines' times.
	TokenInterval, PrefillPerToken time.Duration
}

// job is the request as the order knows it.
func (i Ideal) job(w *Workload, class int, r *Request) clairvoyant.Job {
	c := &w.Classes[class]
	tokens := wanted(w, *r)
	prefill := time.Duration(len(strings.Fields(r.Prompt))) * i.PrefillPerToken
	job := clairvoyant.Job{
		Class: class, Tier: c.Tier, Arrives: r.At, Tokens: tokens,
		First:    prefill + i.TokenInterval,
		Service:  prefill + time.Duration(tokens)*i.TokenInterval,
		AnswerBy: r.At + c.TargetAnswer.Std(),
	}
	if c.TargetFirstToken > 0 {
		job.FirstBy = r.At + c.TargetFirstToken.Std()
	}
	if patience := r.Stream.GiveUpAfter; patience > 0 {
		job.GiveUpAt = r.At + patience.Std()
	}
	return job
}

// Clairvoyant returns what the clairvoyant order reaches with the requests to
// engines, by class of the workload. Shared beginnings of prompts count as
// cached, and no caller sends again.
func (i Ideal) Clairvoyant(w *Workload, requests []Request) clairvoyant.Outcome {
	places := make(map[string]int, len(w.Classes))
	for place := range w.Classes {
		places[w.Classes[place].Name] = place
	}
	var jobs []clairvoyant.Job
	for n := range requests {
		r := &requests[n]
		if r.Stream.Service == nil {
			jobs = append(jobs, i.job(w, places[r.Stream.Class], r))
		}
	}
	return clairvoyant.Run(i.Slots, len(w.Classes), jobs)
}
