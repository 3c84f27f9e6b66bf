package logtrace

import (
	"strings"
	"testing"
	"time"
)

const logOne = `
not JSON
 12.5 vm-1 {"level":"info","msg":"attempt_started","node":"vm-1","replica":"i-1","request":"c1","time":"2026-03-06T20:00:01.5Z"}
{"level":"warning","msg":"replica_changed","node":"vm-1","replica":"i-1","time":"2026-03-06T20:00:01.4Z"}
{"level":"warning","msg":"store_lost","node":"vm-1","time":"2026-03-06T19:00:00Z"}
{"level":"info","msg":"call_ended","node":"vm-1","request":"c2","time":"2026-03-06T20:00:01.5Z"}
{"level":"info","msg":"broken","node":"vm-1","request":"c1","time":"yesterday"}
`

const logTwo = `{"level":"info","msg":"call_ended","node":"vm-1","request":"c1","time":"2026-03-06T20:00:02Z","ms":500,"ending":"whole"}
{"level":"warning","msg":"reload","node":"vm-2","time":"2026-03-06T20:00:01.6Z"}
`

func TestTheLinesOfARequestAndItsNodeAreJoined(t *testing.T) {
	trace := New("c1", time.Second)
	for _, log := range []string{logTwo, logOne} {
		if err := trace.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for _, l := range trace.Lines() {
		got = append(got, l.Event+" "+l.Details())
	}
	want := "replica_changed replica=i-1; attempt_started replica=i-1; call_ended ending=whole ms=500"
	if strings.Join(got, "; ") != want {
		t.Errorf("%s\nwant %s", strings.Join(got, "; "), want)
	}
}

func TestAnUnknownRequestHasNoLines(t *testing.T) {
	trace := New("c9", time.Second)
	if err := trace.Read(strings.NewReader(logOne)); err != nil || trace.Lines() != nil {
		t.Errorf("%v, %v", trace.Lines(), err)
	}
}
