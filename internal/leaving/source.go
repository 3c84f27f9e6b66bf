package leaving

// Source is the origin of a signal. A name is leaving while any source says so.
type Source string

const (
	// SourceInstances is the platform's instance list, which lags.
	SourceInstances Source = "instances"
	// SourceEngine is the replica itself: a refusal with the code `leaving`, or its
	// load report.
	SourceEngine Source = "engine"
	// SourceOperator is the configuration.
	SourceOperator Source = "operator"
)

// Sources returns all sources.
func Sources() []Source { return []Source{SourceInstances, SourceEngine, SourceOperator} }
