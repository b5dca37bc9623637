// Command bluebellgate is the process of an entry VM in a discovered deployment. It
// takes the calls of callers and sends them to endpoints.
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

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellgate serves callers on one entry VM of a discovered deployment. It ends on SIGTERM once the calls that it has taken are answered, and reads its settings again on SIGHUP."
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
	Limits: func(s *pb.GateSettings) (uint32, uint32) { return s.MemoryMB, s.Processors },
	Run: func(ctx context.Context, settings func() *pb.GateSettings, logger *log.Logger) error {
		return bluebellgateway.New(bluebellgateway.Config{Settings: settings, Logger: logger}).Run(ctx)
	},
}
