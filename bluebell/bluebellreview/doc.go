// Package bluebellreview examines a declaration before it is sent: the errors for which the
// system refuses it, what operators probably did not intend, and what differs from the
// declaration in force.
//
// # Usage
//
//	for _, f := range bluebellreview.Review(next) {
//		fmt.Println(f)
//	}
//	for _, d := range bluebellreview.Differences(inForce, next) {
//		fmt.Println(d)
//	}
//
// The declaration need not be valid. The results are in a stable order and contain no keys
// of customers.
package bluebellreview

import "fmt"

// Kind is a kind of entry of a declaration.
type Kind int

// The kinds of entries, in the order in which they are reported.
const (
	// Whole is the declaration itself. Its entry has no name.
	Whole Kind = iota
	Route
	Target
	Store
	Customer
	// Limits are the limits on requests and connections. Their entry has no name.
	Limits
)

func (k Kind) String() string {
	return [...]string{"declaration", "route", "target", "store", "customer", "limits"}[k]
}

// Entry identifies a part of a declaration.
type Entry struct {
	Kind Kind
	Name string
}

func (e Entry) String() string {
	if e.Kind == Whole || e.Kind == Limits {
		return e.Kind.String()
	}
	return fmt.Sprintf("%s %q", e.Kind, e.Name)
}
