package bluebelldirectory

import (
	"strconv"
	"strings"
)

// anyCustomer stands for all customers that are not isolated.
const anyCustomer = "*"

// Scope returns the text that keeps the cached blocks of isolated customers apart
// from all others, and those of different weights from each other. The customer is
// "" for all that are not isolated.
func Scope(customer, model string, weights uint64) string {
	if customer == "" {
		customer = anyCustomer
	}
	return customer + "/" + model + "/" + strconv.FormatUint(weights, 10)
}

// ParseScope returns the model and the version that a scope belongs to.
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
