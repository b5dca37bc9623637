// Command bluebellcore is the core process of a discovered deployment, in which endpoints
// register themselves. It runs on a VM with a disk, accepts registrations of endpoints and
// calls of operators, votes on the operators' changes, and publishes registrations and changes
// to the entries, the processes that take calls.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebellcore/internal/bluebellcorenode"
)

type arguments struct{ bluebellprocess.Arguments }

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellcore stores the agreed state of a discovered deployment. It exits on SIGTERM and reloads its settings on SIGHUP."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := program.Main(args.Arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var program = bluebellprocess.Program[*pb.CoreSettings]{
	Open:   bluebellprocess.OpenCoreSettings,
	Limits: func(s *pb.CoreSettings) (float64, uint32) { return s.MemoryMB, s.Processors },
	Run: func(ctx context.Context, settings func() *pb.CoreSettings, logger *log.Logger) error {
		node, err := bluebellcorenode.New(bluebellcorenode.Config{Settings: settings, Logger: logger})
		if err != nil {
			logger.Error("core process failed to start", "Error", err)
			return err
		}
		return node.Run(ctx)
	},
}
