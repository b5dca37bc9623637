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

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellsim drives the voters through message loss, partitions, crashes, lost disks and racing clients, and stops at the first violated invariant."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	switch {
	case args.Moves != "":
		exitOn(runMoves(args))
		return
	case args.Crowd != "":
		exitOn(runCrowd(args))
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

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate returns the configuration of some answers.
func generate(file string) (*pb.Configuration, error) {
	q, err := bluebellconfig.LoadQuestionnaire(file)
	if err != nil {
		return nil, err
	}
	return bluebellconfig.Generate(q), nil
}

// runRouting shows all policies over the same callers.
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
			fmt.Printf("             returning before %v, while out %v, last new work there %v after the order\n", r.Before, r.During, r.WorstOut)
		}
	}
	return nil
}

func firstModel(c *pb.Configuration) string {
	for _, t := range c.Targets {
		if t.Kind == pb.Kind_Model {
			return t.Name
		}
	}
	return ""
}

// runCrowd plays a load pattern with all policies.
func runCrowd(args arguments) error {
	load, err := bluebelloverload.ReadLoad(args.Crowd)
	if err != nil {
		return err
	}
	for _, p := range bluebelloverload.Policies() {
		fmt.Println(bluebelloverload.Run(bluebelloverload.Config{Load: load.Times(args.Times), Policy: p, Seed: args.Seed}))
	}
	return nil
}

// runMoves shows how moves of each kind end.
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
			fmt.Printf("  most share in a second %v\n  calls it got %v\n  seconds from showing to no traffic %v\n", r.PeakShares, r.NewVersionCalls, r.RemovalSeconds)
		}
	}
	return nil
}

// runSeeds runs seeds side by side until one shows a violation.
func runSeeds(args arguments, mutation bluebellcluster.Mutation) (bluebellcluster.Report, error) {
	deadline := time.Now().Add(args.For)
	var mu sync.Mutex
	var total bluebellcluster.Report
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
				world := bluebellcluster.New(bluebellcluster.Config{Seed: seed, Steps: args.Steps, Voters: args.Voters, Mutation: mutation})
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
	for _, m := range bluebellcluster.Mutations() {
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
