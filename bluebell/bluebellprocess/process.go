// Package bluebellprocess is what the processes of a discovered deployment share:
// settings that may change while a process runs, its limits, its log, and the
// listener of its metrics.
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
	"errors"
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

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebell/bluebelllog"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// pollSettings is how often the file is looked at, since it may change without
	// a signal. Seeds are all that changes, and they are needed within seconds.
	pollSettings = 2 * time.Second
	// memoryShare is the part of a VM's memory that the collector may let the heap
	// grow to; stacks, buffers of the kernel and the program itself have the rest.
	memoryShare = 0.6
	// metricsTimeout bounds one scrape.
	metricsTimeout = 5 * time.Second
)

// SettingsFile is a settings file and its latest content.
type SettingsFile[T any] struct {
	path    string
	read    func(file string, text []byte) (T, bluebellconfig.Findings)
	text    []byte
	current atomic.Pointer[T]
}

// OpenGateSettings reads the settings of a bluebellgate.
func OpenGateSettings(path string) (*SettingsFile[*pb.GateSettings], error) {
	return open(path, bluebellconfig.ReadGateSettings)
}

// OpenCoreSettings reads the settings of a bluebellcore.
func OpenCoreSettings(path string) (*SettingsFile[*pb.CoreSettings], error) {
	return open(path, bluebellconfig.ReadCoreSettings)
}

func open[T any](path string, read func(file string, text []byte) (T, bluebellconfig.Findings)) (*SettingsFile[T], error) {
	s := &SettingsFile[T]{path: path, read: read}
	if _, err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Current returns the latest valid content.
func (s *SettingsFile[T]) Current() T { return *s.current.Load() }

// reload reads the file again and tells whether it has changed.
func (s *SettingsFile[T]) reload() (bool, error) {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return false, fmt.Errorf("settings: %w", err)
	}
	if s.text != nil && bytes.Equal(text, s.text) {
		return false, nil
	}
	settings, findings := s.read(s.path, text)
	if !findings.Empty() {
		return false, fmt.Errorf("settings: %w", findings)
	}
	s.text = text
	s.current.Store(&settings)
	return true, nil
}

// Watch reads the file again after SIGHUP and now and then, until ctx ends. A file
// that is not valid changes nothing.
func (s *SettingsFile[T]) Watch(ctx context.Context, logger *log.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(pollSettings)
	defer ticker.Stop()
	var failed string
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
		case err != nil && err.Error() != failed:
			failed = err.Error()
			logger.Error("settings not taken", "Error", err)
		case changed:
			failed = ""
			logger.Info("settings taken", "File", s.path)
		}
	}
}

// Arguments are those of each program of a discovered deployment.
type Arguments struct {
	Settings string `arg:"positional,required" help:"settings of this process, JSON with comments"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Program is one of the programs behind its main function.
type Program[T any] struct {
	Open func(path string) (*SettingsFile[T], error)
	// Limits returns the memory in MB and the processors of the settings.
	Limits func(settings T) (memoryMB, processors uint32)
	// Run serves until ctx ends.
	Run func(ctx context.Context, settings func() T, logger *log.Logger) error
}

// Main runs a program until SIGTERM or SIGINT, with settings that are read again when
// they change.
func (p Program[T]) Main(args Arguments) error {
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
	// A planned stop takes a while, in which SIGHUP must not end the process.
	go settings.Watch(context.WithoutCancel(ctx), logger)
	return p.Run(ctx, settings.Current, logger)
}

// Sleep waits for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// NewLogger returns a logger on standard output, and a function that ends it.
func NewLogger(level string) (*log.Logger, func(), error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level: %w", err)
	}
	logger, closer := bluebelllog.New(bluebelllog.Config{Writer: os.Stdout, Level: parsed})
	return logger, closer, nil
}

// ApplyLimits keeps the process within a VM's memory and processors; 0 leaves a limit
// out.
func ApplyLimits(memoryMB, processors uint32) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryShare * (1 << 20)))
	}
	if processors > 0 {
		runtime.GOMAXPROCS(int(processors))
	}
}

// HostPort joins an IP address and a port.
func HostPort(address string, port uint32) string {
	return net.JoinHostPort(address, strconv.FormatUint(uint64(port), 10))
}

// PeerAddresses returns the peer addresses of processes that are known by another
// address of theirs. Ports are the same on all VMs.
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

// ServeMetrics serves a handler until ctx ends. Port 0 serves nothing.
func ServeMetrics(ctx context.Context, address string, port uint32, handler http.Handler) error {
	if port == 0 {
		<-ctx.Done()
		return nil
	}
	server := &http.Server{Addr: HostPort(address, port), Handler: handler, ReadHeaderTimeout: metricsTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
