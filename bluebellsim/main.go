// Command bluebellsim runs the replicated state machine through random sequences of faults until
// an invariant is violated or its time is over. Flags select other simulations instead: moves of
// versions, layouts of voters, routing, and an overloaded deployment.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebell/bluebellconfig"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellsim/bluebellcluster"
	"bluebellhaven.org/bluebellsim/bluebellmoves"
	"bluebellhaven.org/bluebellsim/bluebelloverload"
	"bluebellhaven.org/bluebellsim/bluebellquorum"
	"bluebellhaven.org/bluebellsim/bluebellrouting"
)

type arguments struct {
	Seed     uint64        `default:"1" help:"first seed"`
	Runs     int           `default:"100" help:"number of seeds; 0 for as many as the time allows"`
	Steps    int           `default:"100000" help:"steps of each run"`
	Voters   int           `default:"3" help:"number of voters"`
	Mutation string        `help:"guard to break, or all to try each until it is noticed"`
	Moves    string        `help:"run randomised version moves under the policy of these answers instead"`
	Quorums  bool          `help:"show how often the layouts of voters that were weighed have a quorum"`
	Routing  string        `help:"measure routing against baselines with the endpoints of these answers"`
	Callers  int           `default:"120" help:"callers at the same time, for --routing"`
	Cache    int           `default:"4000" help:"blocks that an engine holds, for --routing"`
	Out      string        `help:"failure domain to take out for a third of the run, for --routing"`
	Crowd    string        `help:"play this load pattern with all policies instead"`
	Times    float64       `default:"1" help:"multiplies the calls, for --crowd"`
	For      time.Duration `default:"1h" help:"longest time"`
	Workers  int           `default:"4" help:"runs at the same time"`
}

// Description returns the text above the list of flags in the help.
func (arguments) Description() string {
	return "bluebellsim runs the voters of the replicated state machine through message loss, partitions, crashes, lost disks and concurrent clients, and stops at the first violated invariant."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	switch {
	case args.Moves != "":
		exitOn(runMoves(args))
		return
	case args.Crowd != "":
		exitOn(runOverload(args))
		return
	case args.Routing != "":
		exitOn(runRouting(args))
		return
	case args.Quorums:
		for _, row := range bluebellquorum.Table(bluebellquorum.ExpectedRates()) {
			fmt.Println(row)
		}
		return
	case args.Mutation == "all":
		os.Exit(tryMutations(args))
	}
	report, violation := runSeeds(args, bluebellcluster.Mutation(args.Mutation))
	fmt.Printf("%+v\n", report)
	if violation != nil {
		fmt.Println("violated:", violation)
		os.Exit(1)
	}
}

// exitOn prints an error, if there is one, and exits with status 1.
func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate returns the configuration that is generated from a file of answers.
func generate(file string) (*pb.Configuration, error) {
	q, err := bluebellconfig.LoadQuestionnaire(file)
	if err != nil {
		return nil, err
	}
	return bluebellconfig.Generate(q), nil
}

// runRouting prints the report of each routing policy with the same callers.
func runRouting(args arguments) error {
	c, err := generate(args.Routing)
	if err != nil {
		return err
	}
	for _, p := range bluebellrouting.Policies() {
		r := bluebellrouting.Run(bluebellrouting.Config{
			Configuration: c, Target: firstModel(c), Policy: p, Seed: args.Seed,
			Callers: args.Callers, Duration: min(args.For, time.Hour), CacheBlocks: args.Cache, OutDomain: args.Out,
		})
		fmt.Println(r)
		if args.Out != "" {
			fmt.Printf("             returning before %v, while out %v, last call to the domain %v after it was taken out\n", r.Before, r.During, r.LastCallAfterOut)
		}
	}
	return nil
}

// firstModel returns the name of the first target that is a model, or "" if there is none.
func firstModel(c *pb.Configuration) string {
	for _, t := range c.Targets {
		if t.Kind == pb.Kind_Model {
			return t.Name
		}
	}
	return ""
}

// runOverload prints the report of each policy for a load file.
func runOverload(args arguments) error {
	load, err := bluebelloverload.ReadLoad(args.Crowd)
	if err != nil {
		return err
	}
	for _, p := range bluebelloverload.Policies() {
		fmt.Println(bluebelloverload.Run(bluebelloverload.Config{Load: load.ScaleCalls(args.Times), Policy: p, Seed: args.Seed}))
	}
	return nil
}

// runMoves simulates moves of a target to versions of each kind, and prints how they end.
func runMoves(args arguments) error {
	c, err := generate(args.Moves)
	if err != nil {
		return err
	}
	for _, kind := range bluebellmoves.Kinds() {
		r := bluebellmoves.Run(bluebellmoves.Config{
			Policy: c.Policy, Kind: kind, Runs: args.Runs, Seed: args.Seed,
		})
		fmt.Printf("%-15s %d moves: %d done, %d of them late, %d taken back, %d unfinished\n", kind, r.Runs, r.Done, r.Late, r.TakenBack, r.Unfinished)
		if kind != bluebellmoves.Good {
			fmt.Printf("  largest share in a second %v\n  calls to the new version %v\n  seconds from the first sign of the fault to no traffic %v\n", r.PeakShares, r.NewVersionCalls, r.RemovalSeconds)
		}
	}
	return nil
}

// runSeeds runs seeds concurrently until one violates an invariant, all have run or the time is
// over. It returns the sum of the reports and the first violation.
func runSeeds(args arguments, mutation bluebellcluster.Mutation) (bluebellcluster.Report, error) {
	deadline := time.Now().Add(args.For)
	var mu sync.Mutex
	var total bluebellcluster.Report
	var violation error
	next := args.Seed
	nextSeed := func() (uint64, bool) {
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
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
				simulation := bluebellcluster.New(bluebellcluster.Config{
					Seed: seed, Steps: args.Steps, Voters: args.Voters, Mutation: mutation, Usage: seed%2 == 1,
				})
				report, err := simulation.Run()
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

// tryMutations runs with each mutation (a guard of the replicated state machine that is
// disabled) and returns the number of mutations that violated no invariant.
func tryMutations(args arguments) int {
	undetected := 0
	for _, m := range bluebellcluster.Mutations() {
		report, violation := runSeeds(args, m)
		if violation == nil {
			undetected++
			fmt.Printf("%-15s undetected after %d steps\n", m, report.Steps)
			continue
		}
		fmt.Printf("%-15s detected after %d steps: %v\n", m, report.Steps, violation)
	}
	return undetected
}
