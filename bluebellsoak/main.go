// Command bluebellsoak runs the real programs of a discovered deployment as processes
// on loopback, injects faults from outside them and checks what callers, endpoints and
// operators see.
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
}

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellsoak looks for broken promises under random faults. It ends with 1 if it has found any; the data and logs of their seeds stay."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	broken := 0
	for seed := args.Seed; seed < args.Seed+args.Seeds && ctx.Err() == nil; seed++ {
		report, err := bluebellchaos.Run(ctx, bluebellchaos.Config{
			ProgramFolder: args.Bin, DataFolder: fmt.Sprintf("%s/seed-%d", args.Data, seed), Seed: seed, Duration: args.Duration,
			Gates: args.Gates, Cores: args.Cores, Endpoints: args.Endpoints,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %v\n", seed, report)
		for _, finding := range report.Findings {
			broken++
			fmt.Printf("seed %d: BROKEN: %s\n", seed, finding)
		}
	}
	if broken > 0 {
		os.Exit(1)
	}
}
