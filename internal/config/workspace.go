package config

// Workspace is a customer of the system: its keys, what it may use and how much.
type Workspace struct {
	Name string `yaml:"name" json:"name" validate:"required,max=100,name"`
	// KeySHA256 lists the lower-case hex SHA-256 sums of the workspace's keys.
	KeySHA256 []string `yaml:"key_sha256" json:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Classes the workspace may use; the first is the default.
	Classes []string `yaml:"classes" json:"classes" validate:"required,min=1"`
	// Upstreams the workspace may use.
	Upstreams []string `yaml:"upstreams" json:"upstreams" validate:"required,min=1"`
	// Weight is its fair share inside a class. Default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty" validate:"gte=0,lte=1000"`
	// Quota bounds its use. Zero values mean no bound.
	Quota Quota `yaml:"quota,omitempty" json:"quota,omitzero"`
}

// Quota bounds a workspace's use over all nodes.
type Quota struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty" validate:"gte=0,lte=1000000000"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty" validate:"gte=0,lte=1000000000"`
	// Burst is the seconds of use that may be taken at once. Default 2.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty" validate:"gte=0,lte=3600"`
}
