package load

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Resume asks an entry address for the rest of a streamed answer after the
// given number of events, and reads it to its end.
func (c *Caller) Resume(ctx context.Context, entry, requestID, key string, after int) Attempt {
	attempt := c.resume(ctx, entry, requestID, key, after)
	attempt.Ended = time.Now()
	if attempt.Ending == EndingAborted && ctx.Err() != nil {
		attempt.Ending = EndingGaveUp
	}
	return attempt
}

func (c *Caller) resume(ctx context.Context, entry, requestID, key string, after int) Attempt {
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/requests/"+requestID+"/stream", nil)
	if err != nil {
		return Attempt{Ending: EndingAborted, Err: err}
	}
	message.Header.Set("Authorization", "Bearer "+key)
	message.Header.Set("Last-Event-ID", strconv.Itoa(after))
	response, err := c.client.Do(message)
	if err != nil {
		return Attempt{Ending: EndingAborted, Err: err}
	}
	defer response.Body.Close()
	attempt := Attempt{Status: response.StatusCode, RequestID: response.Header.Get("Trestle-Request-Id")}
	if response.StatusCode != http.StatusOK {
		attempt.readRefusal(response)
		return attempt
	}
	attempt.readStream(response.Body)
	return attempt
}
