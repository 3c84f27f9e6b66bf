package quotashare

import (
	"context"
	"math"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	quotav1 "galenatrestle/internal/gen/trestle/quota/v1"
	"galenatrestle/internal/gen/trestle/quota/v1/quotav1connect"
	"galenatrestle/internal/peer"
)

// wireUnit is the quota in the units of messages.
const wireUnit = 1e6

const stepShare = "report quota demand"

// Caller carries reports to their owner.
type Caller interface {
	Share(ctx context.Context, address string, request *quotav1.ShareRequest) (*quotav1.ShareResponse, error)
}

// connectCaller is the Caller over the peer link.
type connectCaller struct {
	clients *peer.Clients
}

// NewCaller returns the Caller over the peer link.
func NewCaller(clients *peer.Clients) Caller { return connectCaller{clients: clients} }

// Share implements Caller.
func (c connectCaller) Share(ctx context.Context, address string, request *quotav1.ShareRequest) (*quotav1.ShareResponse, error) {
	client := quotav1connect.NewQuotaServiceClient(c.clients.HTTPClient(address), c.clients.URL(address))
	response, err := client.Share(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, stepShare, address)
	}
	return response.Msg, nil
}

func requestOf(node string, reports []Report) *quotav1.ShareRequest {
	request := &quotav1.ShareRequest{Node: node}
	for _, r := range reports {
		request.Workspaces = append(request.Workspaces, uint64(r.Key))
		request.Demands = append(request.Demands, toWire(r.Demand))
	}
	return request
}

// reportsOf reads a request; a workspace without a demand is left out.
func reportsOf(request *quotav1.ShareRequest) []Report {
	demands := request.GetDemands()
	reports := make([]Report, 0, len(demands))
	for i, key := range request.GetWorkspaces() {
		if i < len(demands) {
			reports = append(reports, Report{Key: Key(key), Demand: fromWire(demands[i])})
		}
	}
	return reports
}

func responseOf(grants []Grant) *quotav1.ShareResponse {
	response := &quotav1.ShareResponse{}
	for _, g := range grants {
		response.Shares = append(response.Shares, toWire(g.Share))
		response.Contended = append(response.Contended, g.Contended)
	}
	return response
}

func grantsOf(response *quotav1.ShareResponse) []Grant {
	contended := response.GetContended()
	grants := make([]Grant, 0, len(contended))
	for i, share := range response.GetShares() {
		if i < len(contended) {
			grants = append(grants, Grant{Share: min(fromWire(share), 1), Contended: contended[i]})
		}
	}
	return grants
}

// toWire rounds up, so that a small demand is not taken for none.
func toWire(part float64) uint32 { return uint32(math.Ceil(min(max(part, 0), 1) * wireUnit)) }

func fromWire(units uint32) float64 { return float64(units) / wireUnit }
