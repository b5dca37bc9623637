// Command bluebellcore is the process of a VM with a disk in a discovered
// deployment. It takes the registrations of endpoints and the calls of operators,
// votes on what they declare, and spreads both to the entries.
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
	return "bluebellcore keeps the agreed state of a discovered deployment. It ends on SIGTERM and reads its settings again on SIGHUP."
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
	Limits: func(s *pb.CoreSettings) (uint32, uint32) { return s.MemoryMB, s.Processors },
	Run: func(ctx context.Context, settings func() *pb.CoreSettings, logger *log.Logger) error {
		node, err := bluebellcorenode.New(bluebellcorenode.Config{Settings: settings, Logger: logger})
		if err != nil {
			logger.Error("not started", "Error", err)
			return err
		}
		return node.Run(ctx)
	},
}
