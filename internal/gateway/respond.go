package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/refusal"
)

// refuse answers a request of which no byte of an answer was sent.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	refused := refusal.From(err)
	s.refuseAs(w, refused.Reason.Status(), refused)
}

// refuseAs refuses with another status than the reason's usual one.
func (s *Server) refuseAs(w http.ResponseWriter, status int, refused *refusal.Error) {
	s.metrics.refused(refused)
	header := w.Header()
	header.Set(headerOutcome, string(refused.Outcome))
	header.Set(headerReason, string(refused.Reason))
	if refused.RetryAfter > 0 {
		header.Set(headerRetryAfter, retrySeconds(refused.RetryAfter))
	}
	writeJSON(w, status, errorBody(refused))
}

// retrySeconds writes a duration as whole seconds, rounded up.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func errorBody(refused *refusal.Error) openai.ErrorBody {
	detail := openai.ErrorDetail{
		Message: message(refused),
		Type:    errorType(refused.Reason.Status()),
		Code:    string(refused.Reason),
	}
	if refused.Field != "" {
		detail.Param = &refused.Field
	}
	return openai.ErrorBody{Error: detail}
}

func message(refused *refusal.Error) string {
	switch {
	case refused.Field != "" && refused.Value != "":
		return fmt.Sprintf("%s %q: %s", refused.Field, refused.Value, refused.Message)
	case refused.Message != "":
		return refused.Message
	default:
		return refused.Error()
	}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	giveTime(w, len(body))
	w.Header().Set(headerType, typeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
