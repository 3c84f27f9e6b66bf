package routertest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/router"
)

const (
	workspaceCount       = 10
	prefixesPerWorkspace = 8
	maxLengthFactor      = 8
	shortTimeoutDivisor  = 20
)

var start = time.Date(2026, 3, 6, 18, 0, 0, 0, time.UTC)

// profile describes the requests of one class.
type profile struct {
	class config.Class
	// loadShare is the fraction of the offered slot time.
	loadShare    float64
	promptTokens int
	// medianTokens and sigma describe the log-normal answer length.
	medianTokens float64
	sigma        float64
}

func seconds(n float64) config.Duration {
	return config.Duration(n * float64(time.Second))
}

var profiles = []profile{
	{
		class:     config.Class{Name: "quick", Tier: 0, TargetAnswer: seconds(10), GiveUpAfter: seconds(20), QueueBound: 2000},
		loadShare: 0.35, promptTokens: 300, medianTokens: 60, sigma: 0.7,
	},
	{
		class:     config.Class{Name: "draft", Tier: 1, TargetAnswer: seconds(40), GiveUpAfter: seconds(80), QueueBound: 2000},
		loadShare: 0.30, promptTokens: 1500, medianTokens: 200, sigma: 0.8,
	},
	{
		class:     config.Class{Name: "review", Tier: 2, TargetAnswer: seconds(120), GiveUpAfter: seconds(240), MinShare: 0.05, QueueBound: 2000},
		loadShare: 0.35, promptTokens: 4000, medianTokens: 600, sigma: 0.8,
	},
}

func classes() []config.Class {
	list := make([]config.Class, 0, len(profiles))
	for _, p := range profiles {
		list = append(list, p.class)
	}
	return list
}

// serviceTime returns the time in seconds to answer a request at batch size Knee.
func (p profile) serviceTime(answerTokens float64) float64 {
	return float64(p.promptTokens)/prefillRate + answerTokens*tokenTime.Seconds()
}

func (p profile) meanAnswerTokens() float64 {
	return p.medianTokens * math.Exp(p.sigma*p.sigma/2)
}

// rate returns the arrivals per second.
func (p profile) rate(load float64, slots int) float64 {
	return load * p.loadShare * float64(slots) / p.serviceTime(p.meanAnswerTokens())
}

// arrivals returns the jobs in order of arrival.
func arrivals(s Scenario) []*job {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var jobs []*job
	for classIndex, p := range profiles {
		load := s.Load
		if classIndex == 0 && s.QuickLoadFactor > 0 {
			load *= s.QuickLoadFactor
		}
		rate := p.rate(load, s.Replicas*Knee)
		arrivalSeconds := rng.ExpFloat64() / rate
		for arrivalSeconds < s.Duration.Seconds() {
			jobs = append(jobs, newJob(s, rng, classIndex, arrivalSeconds))
			arrivalSeconds += rng.ExpFloat64() / rate
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.request.Arrived.Compare(b.request.Arrived), cmp.Compare(a.request.ID, b.request.ID))
	})
	return jobs
}

func newJob(s Scenario, rng *rand.Rand, classIndex int, arrivalSeconds float64) *job {
	p := profiles[classIndex]
	arrived := start.Add(time.Duration(arrivalSeconds * float64(time.Second)))
	workspace := int(float64(workspaceCount) * math.Pow(rng.Float64(), 2))
	shortTimeout := rng.Float64() < s.ShortTimeoutFraction
	answerBy := arrived.Add(p.class.TargetAnswer.Std())
	giveUpAt := arrived.Add(p.class.GiveUpAfter.Std())
	if shortTimeout {
		giveUpAt = arrived.Add(p.class.GiveUpAfter.Std() / shortTimeoutDivisor)
		answerBy = giveUpAt
	}
	prefix := rng.IntN(prefixesPerWorkspace)
	answerTokens := p.medianTokens * answerLengthFactor(workspace) * math.Exp(p.sigma*rng.NormFloat64())
	return &job{
		classIndex: classIndex, answerTokens: int(min(max(answerTokens, 1), p.medianTokens*maxLengthFactor)), poolIndex: rng.IntN(s.Pools),
		request: router.Request{
			ID:        p.class.Name + strconv.FormatInt(int64(rng.Uint64()>>1), 36),
			Workspace: "workspace-" + strconv.Itoa(workspace), Class: p.class.Name, Tier: p.class.Tier,
			Arrived:  arrived,
			AnswerBy: answerBy, GiveUpAt: giveUpAt,
			PromptTokens: p.promptTokens, Attempt: 1,
			PrefixHashes: []uint64{uint64(classIndex*workspaceCount*prefixesPerWorkspace + workspace*prefixesPerWorkspace + prefix)},
		},
	}
}

// answerLengthFactor varies the answer lengths between workspaces; its mean, weighted by requests,
// is about 1.
func answerLengthFactor(workspace int) float64 {
	return 0.7 + 0.1*float64(workspace)
}
