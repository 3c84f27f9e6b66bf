package placement

import "time"

// An engine runs a number of requests at once, and the others wait for one of these to
// end, however short their prompts are: an answer of hundreds of tokens takes seconds.
// A burst of short prompts with long answers fills all places long before the replicas
// have much to read. The times of waiting prompts say nothing of that.
const (
	// placesFilled is the part of a replica's places that the light requests of a usual
	// load fill.
	placesFilled = 0.85
	// answerWeight is the weight of one answer in the usual time of answers.
	answerWeight = 0.05
)

// lightPer is the light requests that a replica runs well at once, and atMost those up
// to which it is filled.
func lightPer(open []*state) (usual, atMost float64) {
	places := open[0].replica.Slots
	if places <= 0 {
		return lightPerReplica, lightAtMost
	}
	return min(lightPerReplica, placesFilled*float64(places)), min(lightAtMost, float64(places))
}

// placeWait is the time until the replica has a place for one more request of the
// rank, in milliseconds. Of the requests that wait, those count whose prompts are read
// before: the engine gives its places in the same order.
func (u *upstream) placeWait(s *state, rank int) float64 {
	places := s.replica.Slots
	waiting := s.running + s.peersRunning - places
	if places <= 0 || waiting < 0 {
		return 0
	}
	before := float64(waiting)
	if toRead := s.toRead(); toRead > 0 {
		before *= float64(s.ahead(rank)) / float64(toRead)
	}
	return u.answerMS * (before + 1) / float64(places)
}

// learnAnswer takes in the time from the first byte of an engine's answer to its end.
func (u *upstream) learnAnswer(took time.Duration) {
	ms := float64(took.Milliseconds())
	if u.answerMS == 0 {
		u.answerMS = ms
	}
	u.answerMS += answerWeight * (ms - u.answerMS)
}
