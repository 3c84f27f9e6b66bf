package config

// Index is the lookups of one revision. It and the document behind it never
// change, so that any number of goroutines may read it without a lock.
type Index struct {
	revision   int64
	document   *Document
	keys       map[keySum]int32
	workspaces map[string]int32
	classes    map[string]int32
	upstreams  map[string]int32
	models     map[string]int32
}

// NewIndex returns the lookups of a checked document, which must not be
// changed any more.
func NewIndex(revision int64, document *Document) *Index {
	index := &Index{
		revision:   revision,
		document:   document,
		keys:       make(map[keySum]int32, len(document.Workspaces)),
		workspaces: make(map[string]int32, len(document.Workspaces)),
		classes:    make(map[string]int32, len(document.Classes)),
		upstreams:  make(map[string]int32, len(document.Upstreams)),
		models:     make(map[string]int32, len(document.Upstreams)),
	}
	index.addWorkspaces()
	for i := range document.Classes {
		index.classes[document.Classes[i].Name] = int32(i)
	}
	index.addUpstreams()
	return index
}

func (x *Index) addWorkspaces() {
	for i := range x.document.Workspaces {
		workspace := &x.document.Workspaces[i]
		x.workspaces[workspace.Name] = int32(i)
		for _, text := range workspace.KeySHA256 {
			sum, err := parseKeySum(text)
			if err != nil {
				// A checked document has none of these; such a key opens nothing.
				continue
			}
			x.keys[sum] = int32(i)
		}
	}
}

func (x *Index) addUpstreams() {
	for i := range x.document.Upstreams {
		upstream := &x.document.Upstreams[i]
		x.upstreams[upstream.Name] = int32(i)
		if upstream.Kind != KindEngine {
			continue
		}
		x.models[upstream.model()] = int32(i)
		for _, adapter := range upstream.Adapters {
			x.models[adapter] = int32(i)
		}
	}
}

// Revision returns the configuration's revision; it is above zero.
func (x *Index) Revision() int64 { return x.revision }

// Document returns the whole document. It must not be changed.
func (x *Index) Document() *Document { return x.document }

// Limits returns the bounds on requests.
func (x *Index) Limits() *Limits { return &x.document.Limits }

// WorkspaceByKey returns the workspace that the caller's key opens.
func (x *Index) WorkspaceByKey(key string) (*Workspace, bool) {
	i, ok := x.keys[sumKey(key)]
	if !ok {
		return nil, false
	}
	return &x.document.Workspaces[i], true
}

// Workspace returns the workspace of the name.
func (x *Index) Workspace(name string) (*Workspace, bool) {
	i, ok := x.workspaces[name]
	if !ok {
		return nil, false
	}
	return &x.document.Workspaces[i], true
}

// Class returns the class of the name.
func (x *Index) Class(name string) (*Class, bool) {
	i, ok := x.classes[name]
	if !ok {
		return nil, false
	}
	return &x.document.Classes[i], true
}

// Upstream returns the upstream of the name.
func (x *Index) Upstream(name string) (*Upstream, bool) {
	i, ok := x.upstreams[name]
	if !ok {
		return nil, false
	}
	return &x.document.Upstreams[i], true
}

// UpstreamByModel returns the engine upstream that serves the model or
// adapter of the name.
func (x *Index) UpstreamByModel(model string) (*Upstream, bool) {
	i, ok := x.models[model]
	if !ok {
		return nil, false
	}
	return &x.document.Upstreams[i], true
}
