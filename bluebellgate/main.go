// Command bluebellgate is the process of an entry VM in a discovered deployment. It
// takes the calls of callers and sends them to endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebellgate/internal/bluebellgateway"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"settings of this process, JSON with comments"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellgate serves callers on one entry VM of a discovered deployment. It ends on SIGTERM once the calls that it has taken are answered, and reads its settings again on SIGHUP."
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
	settings, err := bluebellprocess.OpenGateSettings(args.Settings)
	if err != nil {
		return err
	}
	current := settings.Current()
	bluebellprocess.Limit(current.MemoryMB, current.Processors)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go settings.Watch(context.WithoutCancel(ctx), logger)
	return bluebellgateway.New(bluebellgateway.Config{Settings: settings.Current, Logger: logger}).Run(ctx)
}
