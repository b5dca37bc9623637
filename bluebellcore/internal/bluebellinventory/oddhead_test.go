package bluebellinventory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// Guards against a list of a store with an odd head that is believed: its body is not the store's.
func TestListWithOddHeadIsNotBelieved(t *testing.T) {
	for _, odd := range []string{"000 OK\r\n", "999 OK\r\n", "200 OK\r\nSome Field: 1\r\n", "200 OK\r\nSome-Field: a\x00b\r\n"} {
		t.Run(odd, func(t *testing.T) {
			t.Parallel()
			s := newCopyingStore(t)
			s.set(func() {
				s.copyNext = func(path string, _ [][]byte) []byte {
					if path != bluebellplatform.ListBlocksPath {
						return nil
					}
					const list = `{"epoch":1,"next":1,"held":[["*/m0/1","x",10,"m0"]]}`
					return fmt.Appendf(nil, "HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", odd, len(list), list)
				}
			})
			s.hold("*/m0/1", "a", 10, true)
			f := startInventory(t, s.address)
			require.Eventually(t, s.hasCopied, eventTimeout, time.Millisecond)
			f.requireBlocks(t, s.address, map[string]int{"a": 10})
		})
	}
}
