// Command bluebellcore is the process of a VM with a disk in a discovered
// deployment. It takes the registrations of endpoints and the calls of operators,
// votes on what they declare, and spreads both to the entries.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebellcore/internal/bluebellkeeper"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"settings of this process, JSON with comments"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellcore keeps the agreed state of a discovered deployment. It ends on SIGTERM and reads its settings again on SIGHUP."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	logger, closeLog, err := bluebellprocess.Logger(args.LogLevel)
	if err != nil {
		return err
	}
	defer closeLog()
	settings, err := bluebellprocess.OpenCoreSettings(args.Settings)
	if err != nil {
		return err
	}
	current := settings.Current()
	bluebellprocess.Limit(current.MemoryMB, current.Processors)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	keeper, err := bluebellkeeper.New(bluebellkeeper.Config{Settings: settings.Current, Logger: logger})
	if err != nil {
		logger.Error("not started", "Error", err)
		return err
	}
	go settings.Watch(ctx, logger)
	return keeper.Run(ctx)
}
