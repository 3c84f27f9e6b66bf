package configsync

// source says from where a node learned of a revision.
type source string

const (
	sourceAccept   source = "accept"
	sourcePlatform source = "platform"
	sourceNotice   source = "notice"
	sourcePull     source = "pull"
)

// ignored says why news changed nothing.
type ignored string

const (
	// ignoredLower is an older revision: a stale peer, a restored platform.
	ignoredLower ignored = "lower_revision"
	// ignoredDiverged is another document under the revision in force.
	ignoredDiverged ignored = "diverged"
	// ignoredSum is a document or delta that does not have its sum.
	ignoredSum ignored = "wrong_sum"
)
