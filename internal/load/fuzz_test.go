package load

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

func FuzzReadTrace(f *testing.F) {
	f.Add([]byte(`{"at":"1s","workspace":"w","class":"c","model":"m","prompt":"p","outcome":"answered"}` + "\n" +
		`{"at":"0s","workspace":"w","class":"c","model":"m","prompt":"p","outcome":"queue_full|not-run"}`))
	f.Add([]byte("{}"))
	f.Add([]byte(""))
	f.Add([]byte(`{"at":"-1s","workspace":"w","class":"c","model":"m","prompt":"p","outcome":"answered"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, requests, err := ReadTrace(bytes.NewReader(data), map[string]string{"w": "k"})
		if err != nil {
			return
		}
		for i, r := range requests {
			if _, ok := w.class(r.Stream.Class); !ok || r.At < 0 || r.MaxTokens < 0 {
				t.Errorf("request %+v cannot be sent", r)
			}
			if i > 0 && r.At < requests[i-1].At {
				t.Errorf("request %d comes before the one in front of it", i)
			}
		}
	})
}

func FuzzParseWorkload(f *testing.F) {
	f.Add([]byte(small))
	files, err := filepath.Glob("../../bench/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := ParseWorkload(data)
		if err != nil {
			return
		}
		w.MaxRequests = min(w.MaxRequests, 50) // keeps one input cheap
		for _, r := range Plan(w) {
			if _, ok := w.class(r.Stream.Class); !ok || r.At < 0 || r.At >= w.Duration.Std() || r.Prompt == "" {
				t.Errorf("request %+v cannot be sent", r)
			}
		}
	})
}
