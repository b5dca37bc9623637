package bluebellfrontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The bodies of many slow callers together take bounded memory. A call whose body finds no room is
// refused at once, and has not run; the others are served, and their memory is free again afterwards.
func TestBodiesOfAllCallsAreBounded(t *testing.T) {
	const size = 1 << 20
	e := startEntry(t, 1)
	for range 3 {
		var conns []net.Conn
		for i := range 8 {
			conn := e.sendRaw(t, head("/once/x", fmt.Sprint("slow-", i))+fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
			conns = append(conns, conn)
			go func() { _, _ = io.WriteString(conn, strings.Repeat("x", size-1)) }()
		}
		refused := make(chan int, len(conns))
		kept := make(chan net.Conn, len(conns))
		for _, conn := range conns {
			go func() {
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					kept <- conn
					return
				}
				refused <- response.StatusCode
			}()
		}
		served := 0
		for range conns {
			select {
			case status := <-refused:
				require.Equal(t, http.StatusServiceUnavailable, status)
			case conn := <-kept:
				require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
				_, err := io.WriteString(conn, "x")
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				served++
			}
		}
		require.Positive(t, served)
		require.LessOrEqual(t, served, maxHeldBytes/size)
		for _, conn := range conns {
			require.NoError(t, conn.Close())
		}
	}
	for range 3 {
		require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", strings.Repeat("x", size)).status)
	}
	require.Equal(t, http.StatusRequestEntityTooLarge, e.do(http.MethodPost, "/once/x", strings.Repeat("x", size+1)).status)
}

// A call that is refused before its body has arrived gets its answer at once.
func TestCallIsRefusedBeforeItsBodyArrives(t *testing.T) {
	e := startEntry(t, 1)
	for name, framing := range map[string]string{
		"Length": "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 10_000), "Chunks": "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + strings.Repeat("x", 500),
	} {
		t.Run(name, func(t *testing.T) {
			conn := e.sendRaw(t, head("/nowhere/x", "call")+framing)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, response.StatusCode)
			require.True(t, response.Close)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the rest of the body is not awaited for ever")
		})
	}
	conn := e.sendRaw(t, head("/nowhere/x", "call")+"Content-Length: 5\r\n\r\norder")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.False(t, response.Close, "the connection of a call with a short body is kept")
}
