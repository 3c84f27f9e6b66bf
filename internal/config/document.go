package config

// Document is one whole configuration.
type Document struct {
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" validate:"required,min=1,unique=Name,dive"`
	Classes    []Class     `yaml:"classes" json:"classes" validate:"required,min=1,unique=Name,dive"`
	Upstreams  []Upstream  `yaml:"upstreams" json:"upstreams" validate:"required,min=1,unique=Name,dive"`
	Limits     Limits      `yaml:"limits" json:"limits"`
}
