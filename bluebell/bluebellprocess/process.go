// Package bluebellprocess has the common startup code of the processes of a discovered
// deployment (a deployment in which endpoints register themselves): settings files that
// are reloaded while the process runs, memory and processor limits, logging, and the HTTP
// listener for metrics.
//
// # Usage
//
//	err := bluebellprocess.Program[*pb.GateSettings]{
//		Open: bluebellprocess.OpenGateSettings, Limits: limits, Run: run,
//	}.Main(args)
package bluebellprocess

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebell/bluebelllog"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// settingsPollInterval is the interval at which the settings file is read, since it
	// may change without a SIGHUP. Only the seeds (addresses of core processes) change in
	// practice, and a process needs new ones within seconds.
	settingsPollInterval = 2 * time.Second
	// memoryLimitShare is the share of the configured memory that becomes the Go
	// runtime's soft memory limit. The rest is for stacks, kernel buffers and the
	// program itself.
	memoryLimitShare = 0.6
	// metricsHeaderTimeout limits the time to read the header of a scrape request, and maxMetricsHeaderBytes its size.
	metricsHeaderTimeout  = 5 * time.Second
	maxMetricsHeaderBytes = 8 << 10
	// metricsRetryInterval is how often the listener for metrics is tried again.
	metricsRetryInterval = 5 * time.Second
)

// OptionalSettings is the environment variable with settings, in the same format, that are added to those of the
// file. It holds what only some deployments have, so that the files of all others can be filled in by tools that
// know no optional parts.
const OptionalSettings = "BLUEBELL_OPTIONAL_SETTINGS"

// SettingsFile is a settings file and its latest valid content.
type SettingsFile[T proto.Message] struct {
	path  string
	parse func(file string, text []byte) (T, bluebellconfig.Findings)
	// optional is the value of OptionalSettings at the start.
	optional string
	// text is the latest valid content as read, and current its parsed form.
	text    []byte
	current atomic.Pointer[T]
}

// OpenGateSettings reads the settings file of a bluebellgate process.
func OpenGateSettings(path string) (*SettingsFile[*pb.GateSettings], error) {
	return open(path, bluebellconfig.ParseGateSettings)
}

// OpenCoreSettings reads the settings file of a bluebellcore process.
func OpenCoreSettings(path string) (*SettingsFile[*pb.CoreSettings], error) {
	return open(path, bluebellconfig.ParseCoreSettings)
}

func open[T proto.Message](path string, parse func(file string, text []byte) (T, bluebellconfig.Findings)) (*SettingsFile[T], error) {
	s := &SettingsFile[T]{path: path, parse: parse, optional: os.Getenv(OptionalSettings)}
	if _, err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Current returns the latest valid settings.
func (s *SettingsFile[T]) Current() T { return *s.current.Load() }

// reload reads the file and reports whether it has valid content that differs from the
// current one.
func (s *SettingsFile[T]) reload() (bool, error) {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return false, fmt.Errorf("read settings: %w", err)
	}
	if s.text != nil && bytes.Equal(text, s.text) {
		return false, nil
	}
	settings, findings := s.parse(s.path, text)
	if !findings.Empty() {
		return false, fmt.Errorf("invalid settings: %w", findings)
	}
	if s.optional != "" {
		if findings := bluebellconfig.AddSettings(OptionalSettings, []byte(s.optional), settings); !findings.Empty() {
			return false, fmt.Errorf("invalid optional settings: %w", findings)
		}
	}
	s.text = text
	s.current.Store(&settings)
	return true, nil
}

// watch reloads the file on each hangup and every settingsPollInterval until ctx is done. It
// logs each new error of an unreadable or invalid file once, and the current settings stay
// in force.
func (s *SettingsFile[T]) watch(ctx context.Context, hangups <-chan os.Signal, logger *log.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastError string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			logger.Info("reload", "Cause", "SIGHUP")
		case <-ticker.C:
		}
		changed, err := s.reload()
		switch {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			logger.Error("failed to reload settings", "Error", err)
		case changed:
			lastError = ""
			logger.Info("settings reloaded", "File", s.path)
		}
	}
}

// Arguments are the command-line arguments of each program of a discovered deployment.
type Arguments struct {
	Settings string `arg:"positional,required" help:"settings of this process, JSON with comments"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Program is one program of a discovered deployment, with settings of type T.
type Program[T proto.Message] struct {
	// Open reads and validates the settings file.
	Open func(path string) (*SettingsFile[T], error)
	// Limits returns the memory in MB and the number of processors that the settings allow.
	Limits func(settings T) (memoryMB float64, processors uint32)
	// Run runs the program until ctx is done. The function settings returns the latest
	// valid settings.
	Run func(ctx context.Context, settings func() T, logger *log.Logger) error
}

// Main runs the program until SIGTERM or SIGINT, and reloads the settings file when it
// changes.
func (p Program[T]) Main(args Arguments) error {
	// An unhandled SIGHUP would end the process, also while it starts or stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	logger, closeLog, err := NewLogger(args.LogLevel)
	if err != nil {
		return err
	}
	defer closeLog()
	settings, err := p.Open(args.Settings)
	if err != nil {
		return err
	}
	ApplyLimits(p.Limits(settings.Current()))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go settings.watch(context.WithoutCancel(ctx), hangups, logger)
	return p.Run(ctx, settings.Current, logger)
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// NewLogger returns a logger that writes to standard output, and a function that writes the
// queued lines and stops the logger.
func NewLogger(level string) (*log.Logger, func(), error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("invalid log level: %w", err)
	}
	logger, closer := bluebelllog.New(bluebelllog.Config{Writer: os.Stdout, Level: parsed})
	return logger, closer, nil
}

// ApplyLimits sets the Go runtime's memory limit and number of processors. The value 0
// leaves a setting unchanged.
func ApplyLimits(memoryMB float64, processors uint32) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryLimitShare * (1 << 20)))
	}
	if processors > 0 {
		runtime.GOMAXPROCS(int(processors))
	}
}

// HostPort joins an IP address and a port.
func HostPort(address string, port uint32) string {
	return net.JoinHostPort(address, strconv.FormatUint(uint64(port), 10))
}

// PeerAddresses replaces the port of each address by the peer port, which is the same on
// all VMs. It skips addresses that have no port.
func PeerAddresses(addresses []string, port uint32) []string {
	var peers []string
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			continue
		}
		peers = append(peers, HostPort(host, port))
	}
	return peers
}

// ServeMetrics serves a handler until ctx is done. With port 0 it serves nothing and only waits for ctx. If the port is
// in use, it tries again now and then: a process must do its work without metrics.
func ServeMetrics(ctx context.Context, address string, port uint32, handler http.Handler, logger *log.Logger) error {
	if port == 0 {
		<-ctx.Done()
		return nil
	}
	for failed := false; ctx.Err() == nil; {
		server := &http.Server{
			Addr: HostPort(address, port), Handler: handler, ReadHeaderTimeout: metricsHeaderTimeout, MaxHeaderBytes: maxMetricsHeaderBytes,
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		err := server.ListenAndServe()
		stop()
		if ctx.Err() == nil && !failed {
			failed = true
			logger.Error("metrics are not served", "Address", server.Addr, "Error", err)
		}
		Sleep(ctx, metricsRetryInterval)
	}
	return nil
}
