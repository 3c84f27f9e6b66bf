package httphead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

func read(head string) error {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"body")), nil)
	if err != nil {
		return err
	}
	var folding Folding
	for _, part := range strings.SplitAfter(head+"body\n a", "\n") {
		folding.Add([]byte(part))
	}
	if err := folding.Err(); err != nil {
		return err
	}
	return Check(r)
}

func TestHeadsThatAreNotHTTPAreRefused(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Status\r\n\r\n",
		"HTTP/1.1 099 Status\r\n\r\n",
		"HTTP/1.1 +12 Status\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Fill: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01Fill: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\tFill: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Fill: a\x00b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\n X-Fill: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Fill: a\r\n Content-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Fill: a\n\tContent-Length: 4\n\n",
	} {
		if read(head) == nil {
			t.Errorf("accepted %q", head)
		}
	}
}

func TestHeadsOfHTTPAreAccepted(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain; a=\"b c\"\r\nX_Own.Field~1: ü\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.0 404 Not Found\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"HTTP/1.1 599 \r\nX-Empty:\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 4\n\n",
	} {
		if err := read(head); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
}
