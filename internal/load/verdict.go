package load

import (
	"encoding/json"
	"strings"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
)

// right says whether the text is the whole answer to the request.
func right(request *Request, text string, engineSeed uint64) bool {
	if request.Stream.Service != nil {
		return rightEcho(request, text)
	}
	return text == engine.ExpectedAnswerSeeded(request.Prompt, request.MaxTokens, engineSeed)
}

// rightEcho says whether a service's answer is that to this call.
func rightEcho(request *Request, text string) bool {
	var echo service.Echo
	if json.Unmarshal([]byte(text), &echo) != nil {
		return false
	}
	return echo.Path == request.Stream.Service.Path && string(echo.Body) == request.Prompt
}

// tokens counts the words of an engine's answer; a service's has none.
func tokens(request *Request, text string) int {
	if request.Stream.Service != nil {
		return 0
	}
	return len(strings.Fields(text))
}
