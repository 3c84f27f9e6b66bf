package drain

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/membership"
)

// regionTimeout bounds a call for the work of a whole region.
const regionTimeout = callTimeout + time.Second

// errSilent says that a node of another region did not tell its work.
var errSilent = errors.New("drain: the node did not answer its region")

// errNoContact says that a region has nobody to ask.
var errNoContact = errors.New("drain: no contact of the region answers")

// Everywhere asks all members of this region, and for each other region one of
// its contacts. A region without an answer is one Answer with an error.
func (c *Client) Everywhere(ctx context.Context) []Answer {
	answers := c.All(ctx)
	for _, region := range c.members.Regions() {
		answers = append(answers, c.region(ctx, region)...)
	}
	return answers
}

func (c *Client) region(ctx context.Context, region membership.Region) []Answer {
	err := errNoContact
	for _, address := range region.Contacts {
		var answers []Answer
		if answers, err = c.regionAt(ctx, region.Name, address); err == nil {
			return answers
		}
	}
	err = errs.Wrap(errs.Peer, err, "ask region "+region.Name+" for work in flight", region.Name)
	return []Answer{{Member: membership.Member{Region: region.Name}, Err: err}}
}

func (c *Client) regionAt(ctx context.Context, region, address string) ([]Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, regionTimeout)
	defer cancel()
	response, err := c.service(address).GetRegionWork(ctx, connect.NewRequest(&drainv1.GetRegionWorkRequest{}))
	if err != nil {
		return nil, err
	}
	var answers []Answer
	for _, work := range response.Msg.GetWorks() {
		answers = append(answers, Answer{Member: membership.Member{Name: work.GetNode(), Region: region}, Work: work})
	}
	for _, name := range response.Msg.GetSilent() {
		err := errs.Wrap(errs.Peer, errSilent, "ask for work in flight", name)
		answers = append(answers, Answer{Member: membership.Member{Name: name, Region: region}, Err: err})
	}
	return answers, nil
}

// RegionWork gathers the answers of this region's members.
func (c *Client) RegionWork(ctx context.Context) *drainv1.GetRegionWorkResponse {
	response := &drainv1.GetRegionWorkResponse{}
	for _, answer := range c.All(ctx) {
		if answer.Err != nil {
			response.Silent = append(response.Silent, answer.Member.Name)
			continue
		}
		response.Works = append(response.Works, answer.Work)
	}
	return response
}
