package upstream

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
)

func TestContinueBody(t *testing.T) {
	tests := []struct {
		name, original, want string
		err                  error
	}{
		{
			"chat", `{"messages":[{"role":"user","content":"q","name":"x"}],"max_tokens":10,"seed":7}`,
			`{"messages":[{"role":"user","content":"q","name":"x"},{"role":"assistant","content":"so far"}],
			"max_tokens":6,"seed":7,"continue_final_message":true,"add_generation_prompt":false}`, nil,
		},
		{
			"continued before", `{"messages":[{"role":"assistant","content":"I say "}],"continue_final_message":true}`,
			`{"messages":[{"role":"assistant","content":"I say so far"}],
			"continue_final_message":true,"add_generation_prompt":false}`, nil,
		},
		{"text", `{"prompt":"p ","max_completion_tokens":5}`, `{"prompt":"p so far","max_completion_tokens":1}`, nil},
		{"nothing left", `{"prompt":"p","max_tokens":4}`, "", ErrNothingLeft},
		{"several choices", `{"prompt":"p","n":2}`, "", ErrNotContinuable},
		{"prompt of tokens", `{"prompt":[1,2]}`, "", ErrNotContinuable},
		{"not JSON", `{`, "", ErrNotContinuable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := ContinueBody([]byte(test.original), "so far", 4)
			if !errors.Is(err, test.err) {
				t.Fatalf("error %v, want %v", err, test.err)
			}
			if test.err != nil {
				return
			}
			var gotValue, wantValue any
			if err := json.Unmarshal(got, &gotValue); err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal([]byte(test.want), &wantValue); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(gotValue, wantValue) {
				t.Fatalf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestContinueNothingDelivered(t *testing.T) {
	const original = `{"prompt":"p"}`
	got, err := ContinueBody([]byte(original), "", 0)
	if err != nil || string(got) != original {
		t.Fatalf("got %s, %v", got, err)
	}
}
