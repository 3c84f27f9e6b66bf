package daemon

import "testing"

func TestHome(t *testing.T) {
	here := home([]string{"tab-llm"})
	if here("tab-llm", "pubs") {
		t.Error("an upstream that is away is served here")
	}
	if !here("tab-api", "pubs") {
		t.Error("an upstream that is not away is not served here")
	}
}
