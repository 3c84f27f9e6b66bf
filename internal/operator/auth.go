package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/settings"
)

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

type authorKey struct{}

// authorOf returns the operator of a call that passed the guard.
func authorOf(ctx context.Context) string {
	author, _ := ctx.Value(authorKey{}).(string)
	return author
}

// guard lets only operators' calls through and counts all calls.
type guard struct {
	// authors holds the operators' names by the hex sums of their keys.
	authors map[string]string
	metrics *metrics
	log     logrus.FieldLogger
}

func newGuard(operators []settings.Operator, metrics *metrics, log logrus.FieldLogger) *guard {
	authors := make(map[string]string, len(operators))
	for _, operator := range operators {
		authors[strings.ToLower(operator.KeySHA256)] = operator.Name
	}
	return &guard{authors: authors, metrics: metrics, log: log}
}

// interceptor is the guard as connect takes it. The service has unary calls
// alone.
func (g *guard) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			author, err := g.authenticate(request)
			if err != nil {
				return nil, err
			}
			response, err := next(context.WithValue(ctx, authorKey{}, author), request)
			g.count(request.Spec().Procedure, author, err)
			return response, err
		}
	}
}

func (g *guard) authenticate(request connect.AnyRequest) (string, error) {
	key, ok := strings.CutPrefix(request.Header().Get("Authorization"), bearerPrefix)
	if !ok {
		return "", g.refuse(request, refusedMissingKey, "an operator's key is required: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	author, ok := g.authors[hex.EncodeToString(sum[:])]
	if !ok {
		return "", g.refuse(request, refusedUnknownKey, "this is no operator's key")
	}
	return author, nil
}

func (g *guard) refuse(request connect.AnyRequest, reason refusedReason, message string) error {
	g.metrics.refused.WithLabelValues(string(reason)).Inc()
	g.log.WithFields(logrus.Fields{
		"step": "authenticate operator", "peer": request.Peer().Addr, "reason": string(reason),
	}).Warn("operator's call refused")
	return connect.NewError(connect.CodeUnauthenticated, errors.New(message))
}

func (g *guard) count(procedure, author string, err error) {
	code := "ok"
	if err != nil {
		code = connect.CodeOf(err).String()
	}
	g.metrics.calls.WithLabelValues(procedure, code).Inc()
	g.log.WithFields(logrus.Fields{
		"step": procedure, "author": author, "code": code,
	}).Debug("operator's call")
}
