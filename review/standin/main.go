// Command standin runs the cases of the review as scripts: it starts the project's programs as separate
// processes on loopback, with stand-ins for consumers, replicas and the operator, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// -trouble=false it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// result is the outcome of a case.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(s *site, trouble bool) (result, error){}

func main() {
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	if flag.NArg() != 2 || cases[flag.Arg(0)] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin [-trouble=false] CASE FILE")
		os.Exit(2)
	}
	os.Exit(run(flag.Arg(0), flag.Arg(1), *trouble))
}

func run(name, path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := &record{file: file, start: time.Now()}
	defer func() { _ = file.Close() }()
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.stopAll()
	rec.line("case %s, with the disruption: %v", name, trouble)
	outcome, err := cases[name](s, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case outcome.broken:
		rec.line("BROKEN: %s", outcome.text)
		fmt.Println("BROKEN:", outcome.text)
		return 1
	}
	rec.line("held: %s", outcome.text)
	fmt.Println("held:", outcome.text)
	return 0
}
