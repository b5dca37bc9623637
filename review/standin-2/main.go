// Command standin plays a case of the review against bluebellgate and bluebellcore, with stand-ins of the platform,
// the operator, replicas and consumers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
//
//	standin CASE ROOT RECORD
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(p *platform, trouble bool) (broken bool, err error){
	"seeds":  playSeeds,
	"order":  playOrder,
	"ports":  playPorts,
	"wall":   playWall,
	"keys":   playKeys,
	"writer": playWriter,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(p *platform, trouble bool) (bool, error), root, path string) int {
	record := newRecorder()
	p, err := newPlatform(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case: %s, disruption %v", os.Args[1], trouble)
	broken, err := run(p, trouble)
	p.stopAll()
	status := 0
	switch {
	case err != nil:
		record.note("result: the case could not run: %v", err)
		status = 2
	case broken:
		record.note("result: the rule was broken")
		status = 1
	default:
		record.note("result: the rule held")
	}
	if err := record.write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}
