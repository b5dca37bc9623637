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

// crashing sends the same call under fresh keys, by way of all VMs in turn, until it is
// refused for the endpoints that it has crashed:
//
//	crashing CUSTOMER BODY LIMIT
//
// Until then each answer must say that the call may have run, or that it certainly has not
// because no endpoint was up. It must not have reached more endpoints than the limit: two
// calls in a row may meet the same one, which has come back meanwhile and counts once.
func crashing(c *cluster, arguments []string) (string, error) {
	if len(arguments) != 3 {
		return "", errUsage
	}
	limit, err := strconv.Atoi(arguments[2])
	if err != nil {
		return "", err
	}
	vms := slices.Sorted(maps.Keys(c.settings))
	sent := 0
	var wrong error
	err = await("the refusal", func() (bool, string) {
		answer := c.order(vms[sent%len(vms)], arguments[0], uuid.Must(uuid.NewV7()).String(), arguments[1])
		sent++
		switch {
		case answer == "RequestCrashesEndpoints NotRun":
			return true, answer
		case answer == "EndpointFailed Unknown", strings.HasSuffix(answer, " NotRun"):
			return false, answer
		}
		wrong = fmt.Errorf("call %d was answered %q", sent, answer)
		return true, answer
	})
	if err := errors.Join(err, wrong); err != nil {
		return "", err
	}
	if reached := c.reachedEndpoints("orders"); reached > limit {
		return "", fmt.Errorf("the call reached %d endpoints, allowed are %d", reached, limit)
	}
	return fmt.Sprint("refused after ", sent, " calls"), nil
}

// reachedEndpoints returns the number of a target's endpoints that have begun any call.
func (c *cluster) reachedEndpoints(target string) int {
	reached := 0
	for name, e := range c.engines {
		if strings.HasPrefix(name, target+"-") && e.Counts().Requests > 0 {
			reached++
		}
	}
	return reached
}
