package fairshare

import (
	"math"
	"time"
)

const (
	// queueDecayParts is the number of time constants of the queue in a window. The queue has to be
	// recent: a burst fills it within a second.
	queueDecayParts = 4
	// roomPart is the mean queue part up to which an upstream has room for all calls. In the replay of
	// 20 nodes, choices by late reports alone made queues of up to 0.07 at nine tenths of the capacity.
	roomPart = 0.1
	// queueGain is by how much of what is started the capacity falls short, for a queue part of 1 above
	// roomPart. With 1 the queue of the others settled at 0.3 and a tenth of their calls were late; with 8
	// it stayed near roomPart.
	queueGain = 8.0
	// minQueueWeight is the cost, in tokens, below which the queue is not known.
	minQueueWeight = 100
)

// Queue is the decayed expected queue of an upstream.
type Queue struct {
	// Weight is the cost of the calls, refused ones included, Waiting the same multiplied by the part
	// of the allowed queue time that they were expected to wait, up to 1.
	Weight, Waiting float64
}

func (q Queue) plus(other Queue) Queue {
	return Queue{Weight: q.Weight + other.Weight, Waiting: q.Waiting + other.Waiting}
}

func (q Queue) minus(part Queue) Queue {
	return Queue{Weight: max(q.Weight-part.Weight, 0), Waiting: max(q.Waiting-part.Waiting, 0)}
}

// excess returns by how much the mean queue part exceeds roomPart.
func (q Queue) excess() float64 {
	if q.Weight < minQueueWeight {
		return 0
	}
	return max(q.Waiting/q.Weight-roomPart, 0)
}

// capacity returns what the upstream can take if so much is started with such a queue.
func capacity(started, excess float64) float64 { return started * max(1-queueGain*excess, 0) }

// queueAccount is the queue that this node's calls expected.
type queueAccount struct {
	queue     Queue
	decayedAt time.Time
}

func (a *queueAccount) at(now time.Time, window time.Duration) Queue {
	age := max(now.Sub(a.decayedAt), 0)
	decay := math.Exp(-queueDecayParts * age.Seconds() / window.Seconds())
	return Queue{Weight: a.queue.Weight * decay, Waiting: a.queue.Waiting * decay}
}

func (a *queueAccount) add(now time.Time, window time.Duration, cost, queuePart float64) {
	a.queue = a.at(now, window).plus(Queue{Weight: cost, Waiting: cost * min(max(queuePart, 0), 1)})
	a.decayedAt = now
}
