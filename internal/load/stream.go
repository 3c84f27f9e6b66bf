package load

import "galenatrestle/internal/config"

// Stream is one flow of requests of a workspace.
type Stream struct {
	Name      string `yaml:"name" validate:"required"`
	Workspace string `yaml:"workspace" validate:"required"`
	// Key is the workspace's key.
	Key   string `yaml:"key" validate:"required"`
	Class string `yaml:"class" validate:"required"`
	// Model asks an engine; Service calls a plain service instead.
	Model   string   `yaml:"model,omitempty"`
	Service *Service `yaml:"service,omitempty"`
	// Whole asks for an answer in one piece instead of a stream.
	Whole bool `yaml:"whole,omitempty"`
	// Rate is the rate of arrivals over time: each step holds until the next.
	Rate []RateStep `yaml:"rate" validate:"required,min=1,dive"`
	// Prompt is the length of the prompts, in words.
	Prompt Lengths `yaml:"prompt,omitempty"`
	// SharedPrefix is the number of words that all prompts of the stream begin
	// with, in a message of their own.
	SharedPrefix int `yaml:"shared_prefix,omitempty" validate:"gte=0,lte=100000"`
	// Answer is the max_tokens sent. Without it the engine's own length holds.
	Answer Lengths `yaml:"answer,omitempty"`
	// Text is added to each prompt, for faults that select by it.
	Text string `yaml:"text,omitempty"`
	// SamePrompt makes all prompts of the stream alike.
	SamePrompt bool `yaml:"same_prompt,omitempty"`
	// UsefulFor is sent as Trestle-Timeout.
	UsefulFor config.Duration `yaml:"useful_for,omitempty" validate:"gte=0"`
	// GiveUpAfter is when the caller closes the connection; zero: never.
	GiveUpAfter config.Duration `yaml:"give_up_after,omitempty" validate:"gte=0"`
	Resend      Resend          `yaml:"resend,omitempty"`
}

// Service is a call of a plain service.
type Service struct {
	Upstream string `yaml:"upstream" validate:"required"`
	Method   string `yaml:"method" validate:"required,oneof=GET POST PUT PATCH DELETE"`
	Path     string `yaml:"path" validate:"required,startswith=/"`
	// Unrepeatable calls carry an idempotency key and may run at most once.
	Unrepeatable bool `yaml:"unrepeatable,omitempty"`
}

// RateStep is the mean rate of arrivals from a time of the run on.
type RateStep struct {
	At        config.Duration `yaml:"at" validate:"gte=0"`
	PerSecond float64         `yaml:"per_second" validate:"gte=0,lte=100000"`
}

// Resend is what the caller does when it got no whole answer.
type Resend struct {
	// Times is the most times a request is sent again.
	Times int `yaml:"times,omitempty" validate:"gte=0,lte=10"`
	// Wait is the pause before; a Retry-After that is longer wins.
	Wait config.Duration `yaml:"wait,omitempty" validate:"gte=0"`
	// AfterGivingUp sends again also where the caller itself closed.
	AfterGivingUp bool `yaml:"after_giving_up,omitempty"`
}
