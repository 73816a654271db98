// Package stalltest gives tests clients that send most of a body and then nothing, and tells how
// much memory a server of the same process holds for them.
package stalltest

import (
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"
)

const (
	missing     = 10                     // bytes of a body that never come
	sendTimeout = 2 * time.Second        // a server that refuses may read no more
	settle      = 300 * time.Millisecond // until the server has read what was sent
)

// HeapHeld has so many clients send requests whose bodies of bodyBytes lack their end, and tells
// how many bytes of heap are held for them. Each request begins with the line.
func HeapHeld(t *testing.T, address, line string, clients, bodyBytes int) int64 {
	t.Helper()
	before := heap()
	part := make([]byte, bodyBytes-missing)
	var all sync.WaitGroup
	for number := range clients {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		head := fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: stalled-%d\r\nIf-Match: 0\r\nContent-Length: %d\r\n\r\n",
			line, number, bodyBytes)
		all.Go(func() {
			connection.SetWriteDeadline(time.Now().Add(sendTimeout))
			connection.Write([]byte(head))
			connection.Write(part)
		})
	}
	all.Wait()
	time.Sleep(settle)
	held := heap() - before
	runtime.KeepAlive(part)
	return held
}

// heap gives the bytes of heap that are in use.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
