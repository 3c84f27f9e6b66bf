package overload

import "time"

// A request whose caller returns as it was told is admitted up to a longer wait than a newcomer's: to refuse
// it twice loses more than some lateness. With twice the newcomers' limits, 0.89 of the returns were served in
// short bursts above the capacity, with four times the objective 0.95. A larger part of the time left serves
// more of them, and fewer of all calls in a lasting overload.
const (
	returnedObjectiveFactor = 4.0
	returnedQueueFraction   = 0.45
	returnedMemoryThreshold = 0.85
)

// queueLimits returns the objectiveFactor and the maxQueueFraction of the request.
func (r *Request) queueLimits() (factor, fraction float64) {
	if r.Returned {
		return returnedObjectiveFactor, returnedQueueFraction
	}
	return objectiveFactor, maxQueueFraction
}

func (r *Request) allowedMemory() float64 {
	if r.Returned {
		return returnedMemoryThreshold
	}
	return memoryThreshold
}

// reserved returns the time that a newcomer leaves to returning callers. It is at most the queue time, so
// that an upstream with free capacity refuses nobody.
func (r *Request) reserved() time.Duration {
	if r.Returned {
		return 0
	}
	return min(r.Reserved, r.QueueTime)
}
