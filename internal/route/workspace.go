package route

// Workspace is a caller's organisation.
type Workspace struct {
	Name string
	// Tier goes before the route's where HasTier is set.
	Tier    int
	HasTier bool
}
