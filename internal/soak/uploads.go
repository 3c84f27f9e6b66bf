package soak

import (
	"context"
	"fmt"
	"net"
	"sync"

	"galenatrestle/platform/platformtest"
)

// uploadBytes is the size of an unfinished body, the largest that the configuration allows.
const uploadBytes = 1 << 20

// holdUploads sends bodies without their last byte to the first node and leaves them until ctx ends. Uploads that the
// node refuses or closes are not repeated.
func (w *world) holdUploads(ctx context.Context) {
	body := make([]byte, uploadBytes-1)
	var uploads sync.WaitGroup
	for i := range w.options.Uploads {
		uploads.Go(func() { w.holdUpload(ctx, i, body) })
	}
	uploads.Wait()
}

func (w *world) holdUpload(ctx context.Context, number int, body []byte) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", w.nodes[0].entry)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	head := fmt.Sprintf("POST /parts/upload-%d HTTP/1.1\r\nHost: %s\r\n%s: upload-%d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		number, platformtest.Host, platformtest.HeaderID, number, platformtest.HeaderKey, w.keys[0], uploadBytes)
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return
	}
	<-ctx.Done()
}
