package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The headers of the wire.
const (
	headerID       = "X-Galenatrestle-Attempt-Id"
	headerKey      = "X-Api-Key"
	headerReplica  = "X-Galenatrestle-Expect-Replica"
	headerStamp    = "X-Galenatrestle-Replica-Stamp"
	headerDeadline = "X-Galenatrestle-Deadline-Ms"
	headerLast     = "Last-Event-Id"
	headerResumes  = "Resumes"
	headerBrittle  = "Server-Brittle"
)

// Streams have events at a steady pace, the last of which says so.
const (
	streamEvents     = 60
	longStreamEvents = 100
	eventEvery       = 50 * time.Millisecond
	lastData         = "end"
)

// framing is how a replica marks the end of an answer.
type framing string

const (
	// unframed answers have neither a length nor chunks, and end with their connection.
	unframed framing = "unframed"
	chunked  framing = "chunked"
	// mixed answers are unframed at unframedPercent of the requests, and chunked at the others.
	mixed framing = "mixed"
)

// unframedPercent is the part of the answers of a replica with mixed framing that are unframed.
const unframedPercent = 3

// framingOf returns the framing of the answer to the request.
func (r *replica) framingOf(id string) framing {
	if r.framing != mixed {
		return r.framing
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id + r.id))
	if digest.Sum32()%100 < unframedPercent {
		return unframed
	}
	return chunked
}

// replica is a stand-in of a model's replica.
type replica struct {
	id      string
	version string
	framing framing
	// events is the number of events of each stream.
	events int
	// brittle is the refusals a second that the replica says it bears; zero: it is not brittle.
	brittle atomic.Int64
	// perWrite is the number of events that are written together; zero: one.
	perWrite int
	// silentUntil is the end of the replica's last silence; nil: there was none.
	silentUntil atomic.Pointer[time.Time]
	// began is called with the ID of each request that begins to run; may be nil.
	began func(id string)
}

// serve serves connections until the listener is closed.
func (r *replica) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

// serveConn answers the requests of one connection in turn.
func (r *replica) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Header.Get(headerReplica) != r.id {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Galenatrestle-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
		} else {
			err = r.stream(conn, request)
		}
		if err != nil || r.framingOf(request.Header.Get(headerID)) == unframed {
			return
		}
	}
}

// stream writes the events behind the last one that the caller has.
func (r *replica) stream(conn net.Conn, request *http.Request) error {
	id := request.Header.Get(headerID)
	framing := r.framingOf(id)
	if r.began != nil {
		r.began(id)
	}
	// A missing header counts as none of the events.
	last, _ := strconv.Atoi(request.Header.Get(headerLast))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n", headerID, id, headerStamp, r.id)
	if bears := r.brittle.Load(); bears > 0 {
		head += fmt.Sprintf("%s: %d\r\n", headerBrittle, bears)
	}
	if framing == unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	perWrite := max(r.perWrite, 1)
	for n := last + 1; n <= r.events; n += perWrite {
		time.Sleep(time.Duration(perWrite) * eventEvery)
		var events strings.Builder
		for next := n; next < n+perWrite && next <= r.events; next++ {
			events.WriteString(r.event(next, framing))
		}
		if err := r.write(conn, events.String()); err != nil {
			return err
		}
	}
	if framing == unframed {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// event returns the n-th event of a stream, as a chunk of its own if the answer has chunks.
func (r *replica) event(n int, f framing) string {
	data := "word"
	if n == r.events {
		data = lastData
	}
	event := fmt.Sprintf("id: %d\nevent: %s\ndata: %s\n\n", n, r.version, data)
	if f == unframed {
		return event
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// write writes events. A replica that is silent stops within the last of them, and goes on later.
func (r *replica) write(conn net.Conn, events string) error {
	if silent := r.silentFor(); silent > 0 {
		sent := len(events) - unsentBytes
		if _, err := io.WriteString(conn, events[:sent]); err != nil {
			return err
		}
		events = events[sent:]
		time.Sleep(silent)
	}
	_, err := io.WriteString(conn, events)
	return err
}

// unsentBytes is the number of bytes of the last event that a silent replica has not sent.
const unsentBytes = 12

// silentFor returns how long the replica goes on to be silent.
func (r *replica) silentFor() time.Duration {
	until := r.silentUntil.Load()
	if until == nil {
		return 0
	}
	return time.Until(*until)
}

// replicaProcess is a replica in a process of its own.
type replicaProcess struct {
	id, address string
	born        time.Time
	process     *exec.Cmd
	ended       sync.Once
}

// startReplica starts a replica as a process of this program and registers it.
func (d *deployment) startReplica(id, version string, f framing) (*replicaProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &replicaProcess{id: id, address: address, born: time.Now(), process: exec.Command(self, replicaMode, id, version, string(f), address)}
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.process.Start(); err != nil {
		return nil, err
	}
	d.replicas = append(d.replicas, r)
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(deadline) {
			return nil, err
		}
	}
	d.register(id, modelService, version, address, "ready", r.born)
	return r, nil
}

// kill ends the process as a crash does.
func (r *replicaProcess) kill() {
	r.ended.Do(func() {
		_ = r.process.Process.Signal(syscall.SIGKILL)
		_ = r.process.Wait()
	})
}

// serveReplica is the main function of a replica's process.
func serveReplica(id, version, f, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	r := &replica{id: id, version: version, framing: framing(f), events: streamEvents}
	r.serve(listener)
}

// eventsOf returns the IDs and versions of the events in the text, and whether the last one is
// the stream's end.
func eventsOf(text string) (ids []int, versions []string, whole bool) {
	for block := range strings.SplitSeq(text, "\n\n") {
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				// A value that is no number leaves zero, which no event has.
				n, _ := strconv.Atoi(value)
				ids = append(ids, n)
			case "event":
				versions = append(versions, value)
			case "data":
				whole = value == lastData
			}
		}
	}
	return ids, versions, whole
}
