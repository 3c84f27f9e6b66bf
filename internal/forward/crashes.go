package forward

// Crashes knows the requests that crash the replicas which run them.
type Crashes struct{}
