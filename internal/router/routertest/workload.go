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
	loadShare float64
	// medianTokens and sigma describe the log-normal answer length.
	promptTokens int
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

// serviceTime is in seconds, at the knee.
func (p profile) serviceTime(length float64) float64 {
	return float64(p.promptTokens)/prefillRate + length*tokenTime.Seconds()
}

func (p profile) meanLength() float64 {
	return p.medianTokens * math.Exp(p.sigma*p.sigma/2)
}

// rate is in arrivals per second.
func (p profile) rate(load float64, slots int) float64 {
	return load * p.loadShare * float64(slots) / p.serviceTime(p.meanLength())
}

// arrivals returns the jobs in order of arrival.
func arrivals(s Scenario) []*job {
	source := rand.New(rand.NewPCG(s.Seed, 1))
	var jobs []*job
	for class, p := range profiles {
		load := s.Load
		if class == 0 && s.QuickLoadFactor > 0 {
			load *= s.QuickLoadFactor
		}
		rate := p.rate(load, s.Replicas*Knee)
		at := source.ExpFloat64() / rate
		for at < s.Duration.Seconds() {
			jobs = append(jobs, newJob(s, source, class, at))
			at += source.ExpFloat64() / rate
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.request.Arrived.Compare(b.request.Arrived), cmp.Compare(a.request.ID, b.request.ID))
	})
	return jobs
}

func newJob(s Scenario, source *rand.Rand, class int, at float64) *job {
	p := profiles[class]
	arrived := start.Add(time.Duration(at * float64(time.Second)))
	workspace := int(float64(workspaceCount) * math.Pow(source.Float64(), 2))
	shortTimeout := source.Float64() < s.ShortTimeoutFraction
	answerBy := arrived.Add(p.class.TargetAnswer.Std())
	giveUpAt := arrived.Add(p.class.GiveUpAfter.Std())
	if shortTimeout {
		giveUpAt = arrived.Add(p.class.GiveUpAfter.Std() / shortTimeoutDivisor)
		answerBy = giveUpAt
	}
	prefix := source.IntN(prefixesPerWorkspace)
	answerTokens := p.medianTokens * workspaceFactor(workspace) * math.Exp(p.sigma*source.NormFloat64())
	return &job{
		class: class, answerTokens: int(min(max(answerTokens, 1), p.medianTokens*maxLengthFactor)), pool: source.IntN(s.Pools),
		request: router.Request{
			ID:        p.class.Name + strconv.FormatInt(int64(source.Uint64()>>1), 36),
			Workspace: "workspace-" + strconv.Itoa(workspace), Class: p.class.Name, Tier: p.class.Tier,
			Arrived:  arrived,
			AnswerBy: answerBy, GiveUpAt: giveUpAt,
			PromptTokens: p.promptTokens, Attempt: 1,
			PrefixHashes: []uint64{uint64(class*workspaceCount*prefixesPerWorkspace + workspace*prefixesPerWorkspace + prefix)},
		},
	}
}

// workspaceFactor varies the answer lengths; its mean, weighted by requests, is about 1.
func workspaceFactor(workspace int) float64 {
	return 0.7 + 0.1*float64(workspace)
}
