// Command standin runs one case of the third review: it starts the project's programs on loopback addresses, with
// stand-ins for the clients, the servers and the platform, and exits with 1 if a rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the outcome of a case: whether the rule was broken, and what was counted.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. With trouble unset they run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"moved": runMoved, "poison": runPoison, "cold": runCold, "brittle": runBrittle, "waves": runWaves,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	v, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	rec.log("%s; broken: %v", v.text, v.broken)
	fmt.Printf("%s; trouble: %v; broken: %v\n", v.text, trouble, v.broken)
	if v.broken {
		os.Exit(1)
	}
}
