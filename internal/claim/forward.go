package claim

import (
	"context"
	"errors"

	"galenatrestle/internal/errs"
)

// tryBegin asks the holder once. errNotHolder is certain to have changed
// nothing; after any other error the claim may have been made. With an error
// comes what is remembered of the claim, if anything.
func (n *Node) tryBegin(ctx context.Context, request BeginRequest) (BeginReply, error) {
	part, shardHolder := n.shardOf(request.Key)
	here, err := n.beginHere(ctx, part, request)
	if !errors.Is(err, errNotHolder) {
		return here, err
	}
	address, ok := shardHolder.holderAddress()
	if !ok {
		n.metrics.retries.WithLabelValues(retryNoHolder).Inc()
		return here, errNotHolder
	}
	call, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	reply, err := n.options.Peers.Begin(call, address, request)
	if err != nil {
		n.peerFailed(shardHolder)
		return here, errs.Wrap(errs.Peer, err, stepForward, address)
	}
	if reply.NotHolder {
		n.notHolder(shardHolder, reply.Hint)
		return reply.orElse(here), errNotHolder
	}
	return reply, nil
}

// tryFinish asks the holder once.
func (n *Node) tryFinish(ctx context.Context, request FinishRequest) error {
	part, shardHolder := n.shardOf(request.Key)
	err := part.finish(ctx, request)
	if !errors.Is(err, errNotHolder) {
		return err
	}
	address, ok := shardHolder.holderAddress()
	if !ok {
		n.metrics.retries.WithLabelValues(retryNoHolder).Inc()
		return errNotHolder
	}
	call, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	reply, err := n.options.Peers.Finish(call, address, request)
	if err != nil {
		n.peerFailed(shardHolder)
		return errs.Wrap(errs.Peer, err, stepForward, address)
	}
	if reply.NotHolder {
		n.notHolder(shardHolder, reply.Hint)
		return errNotHolder
	}
	return nil
}

func (n *Node) peerFailed(shardHolder *shardHolder) {
	n.metrics.retries.WithLabelValues(retryPeer).Inc()
	shardHolder.forget()
	shardHolder.ask()
}

// notHolder follows the hint of a peer that does not hold the shard. Where it
// leads no further, the platform is asked by trying for the lease: peers with old
// hints would else send a call from one to the other until it gives up.
func (n *Node) notHolder(shardHolder *shardHolder, hint Hint) {
	n.metrics.retries.WithLabelValues(retryNotHolder).Inc()
	if !shardHolder.learn(hint) {
		shardHolder.forget()
		shardHolder.ask()
	}
}

func (n *Node) shardOf(key Key) (*shard, *shardHolder) {
	number := key.Shard(len(n.shards))
	return n.shards[number], n.shardHolders[number]
}

// beginHere runs the request on the shard if it is held here.
func (n *Node) beginHere(ctx context.Context, part *shard, request BeginRequest) (BeginReply, error) {
	n.boots.seen(request.Node, request.Boot)
	decision, err := part.begin(ctx, request, n.boots.gone)
	if errors.Is(err, errUncertain) {
		n.metrics.retries.WithLabelValues(retryUncertain).Inc()
	}
	reply := BeginReply{Verdict: decision.Verdict, Refused: decision.Refused}
	if decision.Answer != nil {
		reply.Answer = AnswerFromProto(decision.Answer)
	}
	return reply, err
}

// ServeBegin answers a forwarded Begin. After an error the claim may have been
// made.
func (n *Node) ServeBegin(ctx context.Context, request BeginRequest) (BeginReply, error) {
	part, shardHolder := n.shardOf(request.Key)
	reply, err := n.beginHere(ctx, part, request)
	if errors.Is(err, errNotHolder) {
		shardHolder.askIfOwner()
		reply.NotHolder, reply.Hint = true, shardHolder.holderHint()
		return reply, nil
	}
	return reply, err
}

// ServeFinish answers a forwarded Finish. After an error the outcome may be
// durable.
func (n *Node) ServeFinish(ctx context.Context, request FinishRequest) (FinishReply, error) {
	part, shardHolder := n.shardOf(request.Key)
	err := part.finish(ctx, request)
	if errors.Is(err, errNotHolder) {
		shardHolder.askIfOwner()
		return FinishReply{NotHolder: true, Hint: shardHolder.holderHint()}, nil
	}
	return FinishReply{}, err
}
