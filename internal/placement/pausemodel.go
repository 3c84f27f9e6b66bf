package placement

import (
	"math"
	"time"
)

// An engine prefills a chunk of the waiting prompts in each decode step, so a stream's next event
// comes later by the time in which they are prefilled. With events of 6 tokens and chunks of 1,024,
// three long prompts in a row, or 35 short ones per second, stall all streams of a replica for
// more than 200 ms.
const (
	// Values before any observation, those of a typical engine.
	initialEventMS     = 20.0
	initialTokensPerMS = 50.0
	initialResidenceMS = 1500.0
	initialShortTokens = 700.0
	// Bounds of the time between events.
	minEventMS = 0.5
	maxEventMS = 1000.0
	// eventStep is the relative step of the estimate of the time between events, which follows the
	// median: one slow stream of 50 events moves it by less than a third.
	eventStep = 0.005
	// loadWeight is the weight of one answer in the averages. It is small because each of many nodes
	// gets a few answers per second only, and all are to arrive at like sides: the estimated prefill
	// speed of 75 nodes differed by a factor of six at the same time.
	loadWeight = 0.02
	// burstDeviations is the number of standard deviations by which the prompts that arrive during
	// the longest of a stream's pauses exceed their mean.
	burstDeviations = 2.0
	// pauseFraction is the fraction of the allowed pause that the expected longest time between
	// events may take on the side of short prompts: replicas at times are 2.5 times slower than usual.
	pauseFraction = 0.35
	// Bounds of the number of requests with short prompts per replica that follows from the pauses.
	// With fewer, that side would take most replicas because of a few slow answers.
	minShortPerReplica = 8.0
	shortTargetStep    = 0.5
)

// pauseModel predicts the time between two events of a stream. It learns from the answers to
// this node's requests.
type pauseModel struct {
	// eventMS is the median time between events while no prompt is prefilled at the replica.
	eventMS float64
	// logMSPerToken is the average logarithm of the estimated prefill time per token, and msPerToken the
	// time that follows from it.
	logMSPerToken, msPerToken float64
	// shortResidenceMS is the average time that a request with a short prompt spends at a replica,
	// and shortTokens the average prompt tokens to prefill for it.
	shortResidenceMS, shortTokens float64
	// shortMaxPauseMS is the average of the longest pauses allowed to those requests; zero: not
	// known.
	shortMaxPauseMS float64
}

func newPauseModel() pauseModel {
	return pauseModel{
		eventMS: initialEventMS, logMSPerToken: -math.Log(initialTokensPerMS), msPerToken: 1 / initialTokensPerMS,
		shortResidenceMS: initialResidenceMS, shortTokens: initialShortTokens,
	}
}

// learnEvent learns the time between two events of a stream. Times during which prompts waited
// at the replica are left out.
func (m *pauseModel) learnEvent(took time.Duration, pendingBefore, pendingAfter int) {
	if took <= 0 || pendingBefore > 0 || pendingAfter > 0 {
		return
	}
	step := eventStep
	if milliseconds(took) < m.eventMS {
		step = -step
	}
	m.eventMS = min(max(m.eventMS*(1+step), minEventMS), maxEventMS)
}

// learnAnswer learns from an answered request.
func (m *pauseModel) learnAnswer(short bool, prefilled int, took time.Duration, tokensPerMS float64) {
	m.logMSPerToken += loadWeight * (-math.Log(tokensPerMS) - m.logMSPerToken)
	m.msPerToken = math.Exp(m.logMSPerToken)
	if short {
		m.shortResidenceMS += loadWeight * (max(milliseconds(took), 1) - m.shortResidenceMS)
		m.shortTokens += loadWeight * (float64(prefilled) - m.shortTokens)
	}
}

// learnMaxPause learns the longest pause allowed to a request with a short prompt.
func (m *pauseModel) learnMaxPause(allowed time.Duration) {
	if m.shortMaxPauseMS == 0 {
		m.shortMaxPauseMS = milliseconds(allowed)
	}
	m.shortMaxPauseMS += loadWeight * (milliseconds(allowed) - m.shortMaxPauseMS)
}

// longestGapMS returns the expected longest time between events of the streams at a replica with
// so many requests with short prompts. While an event is late, further prompts arrive, at a
// rate that follows from the number of requests and their time there.
func (m *pauseModel) longestGapMS(requests float64) float64 {
	arriving := requests * m.shortTokens / m.shortResidenceMS
	free := 1 - arriving*m.msPerToken
	if free <= 0 {
		return math.Inf(1)
	}
	// The gap t solves t = eventMS + msPerToken*(arriving*t + burstDeviations*sqrt(arriving*shortTokens*t)).
	deviation := burstDeviations * math.Sqrt(arriving*m.shortTokens) * m.msPerToken
	root := (deviation + math.Sqrt(deviation*deviation+4*free*m.eventMS)) / (2 * free)
	return root * root
}

// shortTarget returns the number of requests with short prompts per replica at which the expected
// longest time between their events is pauseFraction of the allowed pause, from minShortPerReplica
// to shortPerReplica; zero: the allowed pause is not known.
func (m *pauseModel) shortTarget() float64 {
	if m.shortMaxPauseMS == 0 {
		return 0
	}
	target := shortPerReplica
	for target > minShortPerReplica && m.longestGapMS(target) > pauseFraction*m.shortMaxPauseMS {
		target -= shortTargetStep
	}
	return target
}
