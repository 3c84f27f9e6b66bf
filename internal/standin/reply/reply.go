package reply

import (
	"encoding/json"
	"net/http"

	"galenatrestle/internal/openai"
)

// errorType is the type of all errors of stand-ins.
const errorType = "standin_error"

// JSON writes a value with the status.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Only the connection can fail here, and its reader is then gone.
	_ = json.NewEncoder(w).Encode(value)
}

// Error writes an error in the OpenAI shape.
func Error(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, openai.ErrorBody{Error: openai.ErrorDetail{
		Message: message, Type: errorType, Code: code,
	}})
}
