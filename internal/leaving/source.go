package leaving

// Source is where a sign comes from. Each source has a vote of its own on each
// name; a name is leaving while any of them says so.
type Source string

// The sources.
const (
	// SourceInstances is the platform's list, which lags.
	SourceInstances Source = "instances"
	// SourceEngine is the replica's own word: a refusal with the code
	// `leaving`, or its load report.
	SourceEngine Source = "engine"
	// SourceOperator is the configuration.
	SourceOperator Source = "operator"
)

// Sources returns all sources.
func Sources() []Source { return []Source{SourceInstances, SourceEngine, SourceOperator} }
