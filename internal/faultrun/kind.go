package faultrun

// Kind names what happens to the deployment.
type Kind string

// The kinds of events. Those of engines and services end after the event's
// length, but for crashes, which a restart ends.
const (
	EngineCrash       Kind = "engine-crash"
	EngineStraggler   Kind = "engine-straggler"
	EngineRefuse      Kind = "engine-refuse"
	EngineHang        Kind = "engine-hang"
	EngineLeaving     Kind = "engine-leaving"
	ListedLeaving     Kind = "listed-leaving"
	ServiceCrash      Kind = "service-crash"
	ServiceHang       Kind = "service-hang"
	ServiceRefuse     Kind = "service-refuse"
	PlatformDown      Kind = "platform-down"
	PlatformSlow      Kind = "platform-slow"
	PlatformLost      Kind = "platform-lost-answers"
	PlatformGap       Kind = "platform-watch-gap"
	PlatformLapse     Kind = "platform-lease-lapse"
	PlatformStale     Kind = "platform-stale-instances"
	PlatformRestored  Kind = "platform-restored"
	NodeKilled        Kind = "node-killed"
	NodeStopped       Kind = "node-stopped"
	NodeCut           Kind = "node-cut"
	ConfigurationSent Kind = "configuration"
)

// drawn are the kinds drawn evenly; PlatformRestored is drawn by itself.
var drawn = []Kind{
	EngineCrash, EngineStraggler, EngineRefuse, EngineHang, EngineLeaving, ListedLeaving,
	ServiceCrash, ServiceHang, ServiceRefuse,
	PlatformDown, PlatformSlow, PlatformLost, PlatformGap, PlatformLapse, PlatformStale,
	NodeKilled, NodeStopped, NodeCut, ConfigurationSent,
}
