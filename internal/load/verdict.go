package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
)

// Wrong tells what is wrong with the text as the answer to the request, or
// returns "" where it is the whole right answer.
func Wrong(request *Request, text string, engineSeed uint64) string {
	if request.Stream.Service != nil && rightEcho(request, text) {
		return ""
	}
	if request.Stream.Service != nil {
		return "the answer is that to another call"
	}
	want := engine.ExpectedAnswerSeeded(request.Prompt, request.MaxTokens, engineSeed)
	if text == want {
		return ""
	}
	return difference(text, want)
}

// difference tells where an engine's answer leaves the expected one.
func difference(got, want string) string {
	gotWords, wantWords := strings.Split(got, " "), strings.Split(want, " ")
	for i, word := range wantWords {
		if i >= len(gotWords) {
			return fmt.Sprintf("ends after %d of %d words", i, len(wantWords))
		}
		if gotWords[i] != word {
			return fmt.Sprintf("word %d of %d is %q, not %q", i+1, len(wantWords), gotWords[i], word)
		}
	}
	return fmt.Sprintf("goes on past %d words to %d", len(wantWords), len(gotWords))
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
