package openai

// StreamOptions asks for extras of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// Request is a chat or text completion request.
type Request struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages,omitempty"`
	// Prompt is the text completion's input.
	Prompt              string         `json:"prompt,omitempty"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           *int           `json:"max_tokens,omitempty"`
	MaxCompletionTokens *int           `json:"max_completion_tokens,omitempty"`
	// Priority is sent to engines: lower values run first.
	Priority *int `json:"priority,omitempty"`
	// ContinueFinalMessage asks the engine to go on from the text of the
	// last, assistant, message instead of opening a new one.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative of an answer. Delta is set in stream chunks,
// Message in whole chat answers, Text in text completions.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Response is a whole answer or one chunk of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList answers GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the error shape.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inside of the error shape.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}
