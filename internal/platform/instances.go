package platform

import "context"

// InstanceState is what the platform says of a VM.
type InstanceState string

// The states of a VM in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one VM in the platform's list, which lags behind reality.
type Instance struct {
	// Name is the VM's or replica's name.
	Name string `json:"name"`
	// Address is its IP address and port.
	Address          string        `json:"address"`
	AvailabilityZone string        `json:"availability_zone"`
	State            InstanceState `json:"state"`
}

// Instances is the platform's lagging list of live and leaving VMs.
type Instances interface {
	// Instances returns all VMs, entry VMs and upstream VMs alike.
	Instances(ctx context.Context) ([]Instance, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Reserve asks for the transfer of a model's weights; it returns
	// ErrRateLimited where the store's rate is used up.
	Reserve(ctx context.Context, model, version string) error
}
