package route

// Workspace is a caller's organisation.
type Workspace struct {
	Name string
	// Tier decides among routes of one tier, where HasTier is set.
	Tier    int
	HasTier bool
}
