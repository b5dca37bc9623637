package bluebelldirectory

import (
	"strconv"
	"strings"
)

// anyCustomer is the customer in the scope of all customers that are not isolated.
const anyCustomer = "*"

// SharedCustomer returns what stands for the customer in the scope of all customers that share blocks as
// members of a group; see bluebelldeployment.Deployment.SharingGroup.
func SharedCustomer(group string) string { return anyCustomer + group }

// Scope returns the scope of block keys for a customer, a model and a version of its weights.
// Blocks of an isolated customer are not shared with other customers, and blocks of different
// weights differ. The customer is "" for customers that are not isolated.
func Scope(customer, model string, weights uint64) string {
	if customer == "" {
		customer = anyCustomer
	}
	return customer + "/" + model + "/" + strconv.FormatUint(weights, 10)
}

// ParseScope returns the model and the version of its weights that a scope was made from. It
// returns false if the text is not a scope.
func ParseScope(scope string) (model string, weights uint64, ok bool) {
	i := strings.LastIndexByte(scope, '/')
	if i < 0 {
		return "", 0, false
	}
	weights, err := strconv.ParseUint(scope[i+1:], 10, 64)
	j := strings.LastIndexByte(scope[:i], '/')
	if err != nil || j < 0 {
		return "", 0, false
	}
	return scope[j+1 : i], weights, true
}
