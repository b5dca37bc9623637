// Command bluebellgate runs an entry, the process that takes calls and sends them to
// endpoints, on a VM of a deployment whose endpoints are discovered through registrations.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebellgate/internal/bluebellgateway"
)

type arguments struct{ bluebellprocess.Arguments }

// Description returns the help text of the command.
func (arguments) Description() string {
	return "bluebellgate serves callers on one entry VM of a discovered deployment. On SIGTERM it stops after it has answered all accepted calls. On SIGHUP it reloads its settings."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := program.Main(args.Arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var program = bluebellprocess.Program[*pb.GateSettings]{
	Open:   bluebellprocess.OpenGateSettings,
	Limits: func(s *pb.GateSettings) (float64, uint32) { return s.MemoryMB, s.Processors },
	Run: func(ctx context.Context, settings func() *pb.GateSettings, logger *log.Logger) error {
		return bluebellgateway.New(bluebellgateway.Config{Settings: settings, Logger: logger}).Run(ctx)
	},
}
