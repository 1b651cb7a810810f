package tscommand

import (
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"turmericshed"
	"turmericshed/io/tsentry"
	"turmericshed/io/tsobserve"
	"turmericshed/load/tsdemo"
)

// logOptions holds the settings of the logger.
type logOptions struct {
	format tsobserve.LogFormat
	level  slog.Level
}

func (o *logOptions) setFormat(s string) error {
	o.format = tsobserve.LogFormat(s)
	if o.format != tsobserve.LogText && o.format != tsobserve.LogJSON {
		return fmt.Errorf("want text or json")
	}
	return nil
}

// parseEntry parses the settings of the entry subcommand.
func parseEntry(args []string, errOut io.Writer) (tsentry.Config, logOptions, error) {
	var cfg tsentry.Config
	logs := logOptions{format: tsobserve.LogText, level: slog.LevelInfo}
	f := newFlags("entry", "Serves callers as one entry VM.", errOut)
	f.StringVar(&cfg.Name, "name", "", "`name` of this entry VM, unique in the fleet")
	f.Func("region", "region `name`", func(s string) error { cfg.Region = turmericshed.Region(s); return nil })
	f.Func("failure-domain", "failure domain `name`", func(s string) error { cfg.FailureDomain = turmericshed.FailureDomain(s); return nil })
	f.Var(addrPort{&cfg.CallerAddr}, "caller-addr", "`address:port` for callers and operators")
	f.Var(addrPort{&cfg.PeerAddr}, "peer-addr", "`address:port` for other entry VMs")
	f.Var(addrPort{&cfg.PlatformAddr}, "platform-addr", "`address:port` of the platform's service")
	f.StringVar(&cfg.OperatorKeyHash, "operator-key-hash", "", "hex `SHA-256` of the operators' key")
	f.StringVar(&cfg.CertFile, "cert-file", "", "PEM `file` with the certificate for peers")
	f.StringVar(&cfg.KeyFile, "key-file", "", "PEM `file` with the certificate's key")
	f.StringVar(&cfg.CAFile, "ca-file", "", "PEM `file` with the authority for peers")
	f.DurationVar(&cfg.DrainTimeout, "drain-limit", 60*time.Second, "`duration` allowed for a graceful stop")
	f.DurationVar(&cfg.DefaultDeadline, "default-deadline", 60*time.Second, "`duration` for requests that name no deadline")
	f.IntVar(&cfg.MaxConcurrentRequests, "max-running", 256, "`number` of requests running at once")
	memoryMB := f.Int64("memory-mb", defaultMemoryMB, "`megabytes` of memory that the process may use, 0 for no bound")
	f.IntVar(&cfg.FileDescriptors, "file-descriptors", 0, "`number` of files that the process may open, 0 for the limit of the system")
	f.Func("log-format", "log `format`: text (default) or json", logs.setFormat)
	f.TextVar(&logs.level, "log-level", slog.LevelInfo, "log `level`: debug, info, warn or error")
	if err := f.parse(args); err != nil {
		return cfg, logs, err
	}
	if err := checkEntry(cfg); err != nil {
		return cfg, logs, err
	}
	return cfg, logs, setLimits(&cfg, *memoryMB)
}

// Bounds on the limits of an entry VM. The least memory holds one body of the largest size, the
// least number of descriptors the connections to backend servers and other entry VMs.
const (
	bytesPerMegabyte = 1_000_000
	defaultMemoryMB  = 2048
	leastMemoryMB    = 64
	mostMemoryMB     = 1_000_000
	leastDescriptors = 256
)

// setLimits sets the memory, and the descriptors to the limit of the system if the settings name
// none. It returns a SettingError if one of them is out of range.
func setLimits(cfg *tsentry.Config, memoryMB int64) error {
	if memoryMB != 0 && (memoryMB < leastMemoryMB || memoryMB > mostMemoryMB) {
		return &SettingError{Setting: "-memory-mb", Value: fmt.Sprint(memoryMB), Want: fmt.Sprintf("0 or %d to %d", leastMemoryMB, mostMemoryMB)}
	}
	cfg.MemoryBytes = memoryMB * bytesPerMegabyte
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit of open files: %w", err)
	}
	most := int(min(limit.Cur, math.MaxInt32))
	if cfg.FileDescriptors == 0 {
		cfg.FileDescriptors = most
	}
	if cfg.FileDescriptors < leastDescriptors || cfg.FileDescriptors > most {
		return &SettingError{Setting: "-file-descriptors", Value: fmt.Sprint(cfg.FileDescriptors), Want: fmt.Sprintf("0 or %d to the limit of the system, %d", leastDescriptors, most)}
	}
	return nil
}

// checkEntry returns a SettingError for the first setting that is missing or out of
// range.
func checkEntry(cfg tsentry.Config) error {
	if cfg.Name == "" {
		return &SettingError{Setting: "-name", Want: "a name, unique in the fleet"}
	}
	if cfg.FailureDomain == "" {
		return &SettingError{Setting: "-failure-domain", Want: "the failure domain's name"}
	}
	for _, a := range []struct {
		name string
		addr netip.AddrPort
	}{{"-caller-addr", cfg.CallerAddr}, {"-peer-addr", cfg.PeerAddr}, {"-platform-addr", cfg.PlatformAddr}} {
		if !a.addr.IsValid() {
			return &SettingError{Setting: a.name, Want: "address:port by number"}
		}
	}
	if cfg.DrainTimeout <= 0 {
		return &SettingError{Setting: "-drain-limit", Value: cfg.DrainTimeout.String(), Want: "a duration above 0, such as 60s"}
	}
	if cfg.DefaultDeadline <= 0 {
		return &SettingError{Setting: "-default-deadline", Value: cfg.DefaultDeadline.String(), Want: "a duration above 0, such as 60s"}
	}
	if cfg.OperatorKeyHash != "" && len(cfg.OperatorKeyHash) != sha256.Size*2 {
		return &SettingError{Setting: "-operator-key-hash", Value: cfg.OperatorKeyHash, Want: "64 hex digits, the SHA-256 of the key"}
	}
	if cfg.MaxConcurrentRequests < 1 {
		return &SettingError{Setting: "-max-running", Value: fmt.Sprint(cfg.MaxConcurrentRequests), Want: "at least 1"}
	}
	if (cfg.CertFile == "") != (cfg.KeyFile == "") || (cfg.CertFile == "") != (cfg.CAFile == "") {
		return &SettingError{Setting: "-cert-file", Value: cfg.CertFile, Want: "-cert-file, -key-file and -ca-file together"}
	}
	return nil
}

// demoOptions holds the settings of the demo subcommand.
type demoOptions struct {
	tsdemo.Options
	format       string
	timelineFile string
}

// parseDemo parses the settings of the demo subcommand.
func parseDemo(args []string, errOut io.Writer) (demoOptions, error) {
	o := demoOptions{format: formatTable}
	f := newFlags("demo", "Runs the whole system in one process, with failures.", errOut)
	f.Uint64Var(&o.Seed, "seed", 1, "`seed` of the load")
	f.DurationVar(&o.Duration, "duration", 40*time.Second, "`duration` of the load, 5s to 50s")
	f.Float64Var(&o.Rate, "rate", 40, "mean `arrivals` a second")
	f.StringVar(&o.format, "format", formatTable, "`form` of the result: "+formatTable+" or "+formatJSON)
	f.StringVar(&o.timelineFile, "timeline-file", "", "`file` for the events of all processes, as JSON lines")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if err := checkFormat(o.format); err != nil {
		return o, err
	}
	if o.Duration < 5*time.Second || o.Duration > 50*time.Second {
		return o, &SettingError{Setting: "-duration", Value: o.Duration.String(), Want: "5s to 50s"}
	}
	if o.Rate <= 0 {
		return o, &SettingError{Setting: "-rate", Value: fmt.Sprint(o.Rate), Want: "a number above 0"}
	}
	return o, nil
}
