package claim

import (
	"context"
	"errors"
	"time"

	"galenatrestle/internal/errs"
)

// tryBegin sends the request to the shard's holder once, within timeout. errNotHolder guarantees that
// nothing changed; after any other error the claim may have been made. On error, the
// reply is the decision of a former holder from its last term, if there is one.
func (n *Node) tryBegin(ctx context.Context, request BeginRequest, timeout time.Duration) (BeginReply, error) {
	localShard, manager := n.shardOf(request.Key)
	localReply, err := n.beginLocal(ctx, localShard, request)
	if !errors.Is(err, errNotHolder) {
		return localReply, err
	}
	address, ok := manager.holderAddress()
	if !ok {
		n.metrics.retries.WithLabelValues(retryNoHolder).Inc()
		return localReply, errNotHolder
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.options.Peers.Begin(callCtx, address, request)
	if err != nil {
		n.peerFailed(manager, err)
		return localReply, errs.Wrap(errs.Peer, err, stepForward, address)
	}
	if reply.NotHolder {
		n.followHint(manager, reply.Hint)
		return reply.orElse(localReply), errNotHolder
	}
	return reply, nil
}

func (n *Node) tryFinish(ctx context.Context, request FinishRequest, timeout time.Duration) error {
	localShard, manager := n.shardOf(request.Key)
	err := localShard.finish(ctx, request)
	if !errors.Is(err, errNotHolder) {
		return err
	}
	address, ok := manager.holderAddress()
	if !ok {
		n.metrics.retries.WithLabelValues(retryNoHolder).Inc()
		return errNotHolder
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.options.Peers.Finish(callCtx, address, request)
	if err != nil {
		n.peerFailed(manager, err)
		return errs.Wrap(errs.Peer, err, stepForward, address)
	}
	if reply.NotHolder {
		n.followHint(manager, reply.Hint)
		return errNotHolder
	}
	return nil
}

// peerFailed forgets a holder that cannot be reached. One that is only slow still holds the
// shard, and nothing better is known; the attempt to acquire the lease finds out.
func (n *Node) peerFailed(manager *leaseManager, err error) {
	n.metrics.retries.WithLabelValues(retryPeer).Inc()
	if !errors.Is(err, context.DeadlineExceeded) {
		manager.clearHolder()
	}
	manager.requestAcquire()
}

// followHint updates the known holder from the reply of a node that does not hold the
// shard. If the hint is not newer, this node tries to acquire the lease, which returns
// the current holder; otherwise nodes with stale hints could redirect the call to each
// other until it times out.
func (n *Node) followHint(manager *leaseManager, hint Hint) {
	n.metrics.retries.WithLabelValues(retryNotHolder).Inc()
	if !manager.updateHint(hint) {
		manager.clearHolder()
		manager.requestAcquire()
	}
}

func (n *Node) shardOf(key Key) (*shard, *leaseManager) {
	number := key.Shard(len(n.shards))
	return n.shards[number], n.leaseManagers[number]
}

func (n *Node) beginLocal(ctx context.Context, localShard *shard, request BeginRequest) (BeginReply, error) {
	n.boots.observe(request.Node, request.Boot)
	decision, err := localShard.begin(ctx, request, n.boots.processEnded)
	if errors.Is(err, errUncertain) {
		n.metrics.retries.WithLabelValues(retryUncertain).Inc()
	}
	reply := BeginReply{Verdict: decision.Verdict, Refused: decision.Refused}
	if decision.Answer != nil {
		reply.Answer = AnswerFromProto(decision.Answer)
	}
	return reply, err
}

// ServeBegin handles a forwarded Begin. After an error the claim may have been made.
func (n *Node) ServeBegin(ctx context.Context, request BeginRequest) (BeginReply, error) {
	localShard, manager := n.shardOf(request.Key)
	reply, err := n.beginLocal(ctx, localShard, request)
	if errors.Is(err, errNotHolder) {
		manager.requestAcquireIfPreferred()
		reply.NotHolder, reply.Hint = true, manager.holderHint()
		return reply, nil
	}
	return reply, err
}

// ServeFinish handles a forwarded Finish. After an error the outcome may be durable.
func (n *Node) ServeFinish(ctx context.Context, request FinishRequest) (FinishReply, error) {
	localShard, manager := n.shardOf(request.Key)
	err := localShard.finish(ctx, request)
	if errors.Is(err, errNotHolder) {
		manager.requestAcquireIfPreferred()
		return FinishReply{NotHolder: true, Hint: manager.holderHint()}, nil
	}
	return FinishReply{}, err
}
