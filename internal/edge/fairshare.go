package edge

import (
	"time"

	"galenatrestle/internal/fairshare"
)

// newFairShare returns the division of upstreams by workspace, or nil if the settings do not turn it on.
// A changed setting needs a restart.
func (n *Node) newFairShare() *fairshare.Sharing {
	f := n.options.Settings.PassThrough.FairAdmission
	if f == nil {
		return nil
	}
	return fairshare.New(fairshare.Options{
		Window: f.Window.Std(), MinShare: *f.MinShare, StartedAt: time.Now(),
		OnChange: func(c fairshare.Change) { n.log.Write(&fairshare.ShareChanged{Change: c}) },
	})
}
