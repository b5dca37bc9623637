package bluebellupstream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellhead/bluebelloddhead"
)

// Guards against an answer with a status of 000, or with a line in its head that is no field.
func TestOddHeadIsNoAnswer(t *testing.T) {
	for name, head := range bluebelloddhead.Heads("Id: 1\r\n") {
		_, err := exchange(t, startEndpoint(t, head+"body", false))
		require.Error(t, err, name)
	}
}
