package processtest

import (
	"regexp"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// retainedClaims matches the metric of one claim shard that a node holds and
// that knows claims.
var retainedClaims = regexp.MustCompile(`(?m)^trestle_claim_retained\{shard="\d+"\} [1-9]`)

// holderCommand is "holder": it waits until some node holds a claim shard with
// claims, and sets HOLDER and HOLDER_ENTRY to the node that holds most, OTHER1
// and OTHER2 to the others' entries.
func holderCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 0, "holder")
	d := of(ts)
	holder, most := 0, 0
	found := waitUntil(func() bool {
		for i, n := range d.nodes {
			held := len(retainedClaims.FindAllString(d.look("http://"+n.Ops+"/metrics"), -1))
			if held > most {
				holder, most = i, held
			}
		}
		return most > 0
	})
	if !found {
		ts.Fatalf("no node holds a claim shard")
	}
	ts.Logf("%s holds %d claim shards", d.nodes[holder].Name, most)
	ts.Setenv("HOLDER", d.nodes[holder].Name)
	ts.Setenv("HOLDER_ENTRY", d.nodes[holder].Entry)
	for i := 1; i < nodes; i++ {
		ts.Setenv("OTHER"+strconv.Itoa(i), d.nodes[(holder+i)%nodes].Entry)
	}
}
