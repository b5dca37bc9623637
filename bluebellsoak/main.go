// Command bluebellsoak runs gates and core processes of a discovered deployment, one whose
// endpoints register themselves, on loopback addresses. It injects faults from outside the
// processes and checks what callers, endpoints and operators observe.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

type arguments struct {
	Bin       string        `arg:"--bin" default:"target" help:"folder of bluebellgate and bluebellcore"`
	Data      string        `arg:"--data" default:"data/soak" help:"folder for data and logs; each seed has one of its own"`
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds     uint64        `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Duration  time.Duration `arg:"--duration" default:"15s" help:"time of faults under load for each seed"`
	Gates     int           `arg:"--gates" default:"3"`
	Cores     int           `arg:"--cores" default:"3"`
	Endpoints int           `arg:"--endpoints" default:"6"`
	Repeated  bool          `arg:"--repeated" help:"repeat one call that crashes endpoints, in a way that the seed selects, instead of random faults"`
	Copies    bool          `arg:"--copies" help:"restart endpoints that write refusals and answers once more, instead of random faults"`
	OtherBin  string        `arg:"--other-bin" help:"folder of another build: with --repeated, every second process runs it; otherwise processes are replaced by it, and back"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "bluebellsoak runs a deployment under random faults and checks its guarantees. It exits with 1 if one is violated; data and logs are kept."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	findings := 0
	for seed := args.Seed; seed < args.Seed+args.Seeds && ctx.Err() == nil; seed++ {
		result, broken, err := args.run(ctx, bluebellchaos.Config{
			ProgramFolder: args.Bin, OtherProgramFolder: args.OtherBin, DataFolder: fmt.Sprintf("%s/seed-%d", args.Data, seed), Seed: seed, Duration: args.Duration,
			Gates: args.Gates, Cores: args.Cores, Endpoints: args.Endpoints,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %s\n", seed, result)
		for _, finding := range broken {
			findings++
			fmt.Printf("seed %d: BROKEN: %s\n", seed, finding)
		}
	}
	if findings > 0 {
		os.Exit(1)
	}
}

// run runs one seed and returns the result and the violations.
func (a arguments) run(ctx context.Context, cfg bluebellchaos.Config) (result string, broken []string, err error) {
	if a.Repeated {
		repeated := bluebellchaos.RepeatedOf(cfg.Seed)
		repeated.OtherProgramFolder = a.OtherBin
		report, err := bluebellchaos.RunRepeated(ctx, cfg, repeated)
		return fmt.Sprintf("%v: %v", repeated, report), report.Violations(), err
	}
	run := bluebellchaos.Run
	if a.Copies {
		run = bluebellchaos.RunCopies
	}
	report, err := run(ctx, cfg)
	return report.String(), report.Findings, err
}
