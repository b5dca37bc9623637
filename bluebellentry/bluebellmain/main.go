// Package bluebellmain is the program bluebellentry as a library. Tests call Main to run
// it as a separate process.
//
// # Usage
//
//	func main() { bluebellmain.Main() }
package bluebellmain

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebell/bluebellwal"
	"bluebellhaven.org/bluebellentry/internal/bluebellnode"
)

type arguments struct {
	Settings      string        `arg:"positional,required" help:"generated settings of this VM, vm-NAME.jsonc"`
	Bootstrap     bool          `help:"let an empty data folder start as one of the system's first voters; never for a replaced disk"`
	BalancerDelay time.Duration `arg:"--balancer-delay" default:"3s" help:"how long the listener stays after the entry has said that it is not ready"`
	LogLevel      string        `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Description explains the command in its help.
func (arguments) Description() string {
	return "bluebellentry serves callers on one entry VM. On SIGTERM it completes running requests and exits."
}

// minSecretBytes is the minimum length of the shared secret.
const minSecretBytes = 16

// Main runs the program with the arguments of the process. It exits with status 1 if the
// program fails.
func Main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	level, err := log.ParseLevel(args.LogLevel)
	if err != nil {
		return fmt.Errorf("parse --log-level: %w", err)
	}
	text, err := os.ReadFile(args.Settings)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, findings := bluebellconfig.ParseProcessSettings(args.Settings, text)
	if !findings.Empty() {
		return findings
	}
	secret, err := os.ReadFile(settings.SecretFile)
	if err != nil {
		return fmt.Errorf("read secret: %w", err)
	}
	secret = []byte(strings.TrimSpace(string(secret)))
	if len(secret) < minSecretBytes {
		return fmt.Errorf("secret file %s must hold at least %d bytes", settings.SecretFile, minSecretBytes)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{
		Level: level, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	node, err := bluebellnode.New(bluebellnode.Config{
		Settings: settings, Secret: secret, Bootstrap: args.Bootstrap, BalancerDelay: args.BalancerDelay,
		FS: bluebellwal.OS(), Logger: logger,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.Run(ctx)
}
