package route

// Document is a decoded configuration from which a Table is built.
type Document struct {
	// Version orders documents; the higher one is the newer.
	Version    int64
	Routes     []Route
	Upstreams  []Upstream
	Workspaces []KeyedWorkspace
	// Open is whether no route needs a key. Without it and without workspaces, only anonymous routes are served.
	Open   bool
	Limits Limits
}

// KeyedWorkspace is a workspace and the keys its callers send.
type KeyedWorkspace struct {
	Workspace
	Keys []string
}
