package platform

// Call names a kind of call to the platform, for counters and budgets.
type Call string

// The kinds of calls.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "compare_and_swap"
	CallDelete         Call = "delete"
	CallWatch          Call = "watch"
	CallAcquire        Call = "acquire"
	CallRenew          Call = "renew"
	CallRelease        Call = "release"
	CallInstances      Call = "instances"
	CallReserve        Call = "reserve"
)

// IsWrite tells whether the call counts against the platform's write rate.
func (c Call) IsWrite() bool {
	switch c {
	case CallCompareAndSwap, CallDelete, CallAcquire, CallRenew, CallRelease:
		return true
	default:
		return false
	}
}
