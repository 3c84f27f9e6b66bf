package config

// Kind says what an upstream is.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Upstream is a set of replicas that serve the same thing.
type Upstream struct {
	Name string `yaml:"name" json:"name" validate:"required,max=100,name"`
	Kind Kind   `yaml:"kind" json:"kind" validate:"required,oneof=engine service"`
	// Model is the model name callers ask for; engines only. Default: Name.
	Model string `yaml:"model,omitempty" json:"model,omitempty"`
	// Adapters are further model names the engines serve.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// HonoursFencing says that the engines refuse an order with an old epoch.
	HonoursFencing bool `yaml:"honours_fencing,omitempty" json:"honours_fencing,omitempty"`
	// Replicas that serve the upstream.
	Replicas []Replica `yaml:"replicas" json:"replicas" validate:"required,min=1,unique=Name,dive"`
	// SlotsPerReplica is the concurrency limit a replica starts with. Default 8.
	SlotsPerReplica int `yaml:"slots_per_replica,omitempty" json:"slots_per_replica,omitempty" validate:"gte=0"`
	// Unrepeatable lists the calls that may run at most once; services only.
	Unrepeatable []Rule `yaml:"unrepeatable,omitempty" json:"unrepeatable,omitempty" validate:"dive"`
}

// Replica is one process that serves an upstream.
type Replica struct {
	Name             string `yaml:"name" json:"name" validate:"required,max=100,name"`
	Address          string `yaml:"address" json:"address" validate:"required,hostname_port"`
	AvailabilityZone string `yaml:"availability_zone" json:"availability_zone" validate:"required"`
	// Leaving takes the replica out of service.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// Rule matches calls of a plain service.
type Rule struct {
	Method string `yaml:"method" json:"method" validate:"required,oneof=GET POST PUT PATCH DELETE"`
	// Path is a path.Match pattern, such as "/claims/*".
	Path string `yaml:"path" json:"path" validate:"required,startswith=/"`
	// KeyOptional lets calls without an Idempotency-Key through; each then
	// counts as a call of its own.
	KeyOptional bool `yaml:"key_optional,omitempty" json:"key_optional,omitempty"`
}
