// Command bluebellsim runs the replicated state through randomised histories of
// faults for as long as it is told.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebellsim/bluebellmoves"
	"bluebellhaven.org/bluebellsim/bluebellworld"
)

type arguments struct {
	Seed     uint64        `default:"1" help:"first seed"`
	Runs     int           `default:"100" help:"number of seeds; 0 for as many as the time allows"`
	Steps    int           `default:"100000" help:"steps of each run"`
	Voters   int           `default:"3" help:"number of voters"`
	Mutation string        `help:"guard to break, or all to try each until it is noticed"`
	Moves    string        `help:"run randomised version moves under the policy of these answers instead"`
	For      time.Duration `default:"1h" help:"longest time"`
	Workers  int           `default:"4" help:"runs at the same time"`
}

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellsim drives the voters through message loss, partitions, crashes, lost disks and racing clients, and stops at the first violated invariant."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Moves != "" {
		if err := runMoves(args); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if args.Mutation == "all" {
		os.Exit(tryMutations(args))
	}
	report, violation := runSeeds(args, bluebellworld.Mutation(args.Mutation))
	fmt.Printf("%+v\n", report)
	if violation != nil {
		fmt.Println("violated:", violation)
		os.Exit(1)
	}
}

// runMoves shows how moves of each kind end.
func runMoves(args arguments) error {
	text, err := os.ReadFile(args.Moves)
	if err != nil {
		return err
	}
	q, findings := bluebellconfig.ReadQuestionnaire(args.Moves, text)
	if !findings.Empty() {
		return findings
	}
	for _, kind := range bluebellmoves.Kinds() {
		r := bluebellmoves.Run(bluebellmoves.Config{
			Policy: bluebellconfig.Generate(q).Policy, Kind: kind, Runs: args.Runs, Seed: args.Seed,
		})
		fmt.Printf("%-15s %d moves: %d done, %d of them late, %d taken back, %d unfinished\n", kind, r.Runs, r.Done, r.Late, r.TakenBack, r.Unfinished)
		if kind != bluebellmoves.Good {
			fmt.Printf("  most share in a second %v\n  calls it got %v\n  seconds from showing to no traffic %v\n", r.MostShare, r.BadCalls, r.ShownToGone)
		}
	}
	return nil
}

// runSeeds runs seeds side by side until one shows a violation.
func runSeeds(args arguments, mutation bluebellworld.Mutation) (bluebellworld.Report, error) {
	deadline := time.Now().Add(args.For)
	var mu sync.Mutex
	var total bluebellworld.Report
	var violation error
	next := args.Seed
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if violation != nil || time.Now().After(deadline) || args.Runs > 0 && next >= args.Seed+uint64(args.Runs) {
			return 0, false
		}
		next++
		return next - 1, true
	}
	workers := pool.New()
	for range args.Workers {
		workers.Go(func() {
			for seed, ok := take(); ok; seed, ok = take() {
				world := bluebellworld.New(bluebellworld.Config{Seed: seed, Steps: args.Steps, Voters: args.Voters, Mutation: mutation})
				report, err := world.Run()
				mu.Lock()
				total.Add(report)
				if err != nil && violation == nil {
					violation = err
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return total, violation
}

// tryMutations breaks each guard and returns the number that went unnoticed.
func tryMutations(args arguments) int {
	unnoticed := 0
	for _, m := range bluebellworld.Mutations() {
		report, violation := runSeeds(args, m)
		if violation == nil {
			unnoticed++
			fmt.Printf("%-15s unnoticed after %d steps\n", m, report.Steps)
			continue
		}
		fmt.Printf("%-15s noticed after %d steps: %v\n", m, report.Steps, violation)
	}
	return unnoticed
}
