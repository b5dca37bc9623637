package bluebellscenario_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// crashingCommand sends the same call to all VMs in turn, each time with a new idempotency
// key, until it is refused because it has crashed endpoints:
//
//	crashing CUSTOMER BODY LIMIT
//
// Until then each answer must say that the call may have run, or that it did not run
// because no endpoint was up. The call must not reach more than LIMIT endpoints. An endpoint
// that has restarted and gets the call again counts once.
func crashingCommand(c *cluster, arguments []string) (string, error) {
	if len(arguments) != 3 {
		return "", errUsage
	}
	limit, err := strconv.Atoi(arguments[2])
	if err != nil {
		return "", err
	}
	vms := slices.Sorted(maps.Keys(c.settings))
	sent := 0
	var unexpected error
	err = await("the refusal of the call", func() (bool, string) {
		answer := c.callNonIdempotent(vms[sent%len(vms)], arguments[0], uuid.Must(uuid.NewV7()).String(), arguments[1])
		sent++
		switch {
		case answer == "RequestCrashesEndpoints NotRun":
			return true, answer
		case answer == "EndpointFailed Unknown", strings.HasSuffix(answer, " NotRun"):
			return false, answer
		}
		unexpected = fmt.Errorf("call %d got the unexpected answer %q", sent, answer)
		return true, answer
	})
	if err := errors.Join(err, unexpected); err != nil {
		return "", err
	}
	if reached := c.reachedEndpoints("orders"); reached > limit {
		return "", fmt.Errorf("the call reached %d endpoints, want at most %d", reached, limit)
	}
	return fmt.Sprint("refused after ", sent, " calls"), nil
}

// reachedEndpoints returns the number of a target's endpoints that have received a request.
func (c *cluster) reachedEndpoints(target string) int {
	reached := 0
	for name, e := range c.engines {
		if strings.HasPrefix(name, target+"-") && e.Counts().Requests > 0 {
			reached++
		}
	}
	return reached
}
