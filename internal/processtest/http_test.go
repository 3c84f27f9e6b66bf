package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// readTimeout bounds one look at an address that may be frozen.
const readTimeout = 2 * time.Second

// look returns "STATUS BODY" of a GET, or the error's text.
func (d *deployment) look(url string) string {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err.Error()
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", response.StatusCode, body)
}

// waitHTTPCommand is "waithttp URL REGEXP": it waits until "STATUS BODY"
// matches; with "!", until there is an answer that does not.
func waitHTTPCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, false, len(args) != 2, "waithttp URL REGEXP")
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	answered := regexp.MustCompile(`^\d{3} `)
	last := ""
	holds := func() bool {
		last = of(ts).look(args[0])
		return answered.MatchString(last) && pattern.MatchString(last) != neg
	}
	if !waitUntil(holds) {
		ts.Fatalf("%s answers %s", args[0], last)
	}
}
