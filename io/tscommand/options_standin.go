package tscommand

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"turmericshed"
)

// standinPlatformOptions holds the settings of the standin platform subcommand.
type standinPlatformOptions struct {
	Addr            netip.AddrPort
	WritesPerSecond float64
	ReadsPerSecond  float64
	ListLag         time.Duration
	ListExpiry      time.Duration
}

// standinServerOptions holds the settings that all stand-in servers share.
type standinServerOptions struct {
	Server       turmericshed.BackendServer
	PlatformAddr netip.AddrPort
	RestartAfter time.Duration
	LoadLag      time.Duration
}

// standinEngineOptions holds the settings of the standin engine subcommand.
type standinEngineOptions struct {
	standinServerOptions
	Slots                  int
	StepInterval           time.Duration
	PrefillTokensPerSecond float64
	CacheTokens            int
}

// standinServiceOptions holds the settings of the standin service subcommand.
type standinServiceOptions struct {
	standinServerOptions
	RunTime time.Duration
}

func parseStandinPlatform(args []string, errOut io.Writer) (standinPlatformOptions, error) {
	var o standinPlatformOptions
	f := newFlags("standin platform", "Stands in for the platform: key-value service and list of VMs.", errOut)
	f.Var(addrPort{&o.Addr}, "addr", "`address:port` to listen at; port 0 chooses one")
	f.Float64Var(&o.WritesPerSecond, "writes-per-second", 0, "`number` of writes a second, 0 for no limit")
	f.Float64Var(&o.ReadsPerSecond, "reads-per-second", 0, "`number` of reads a second, 0 for no limit")
	f.DurationVar(&o.ListLag, "list-lag", 2*time.Second, "`duration` by which the list of VMs lags")
	f.DurationVar(&o.ListExpiry, "list-expiry", 5*time.Second, "`duration` without a heartbeat after which a VM leaves the list")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.WritesPerSecond < 0 || o.ReadsPerSecond < 0 {
		return o, &SettingError{Setting: "-writes-per-second and -reads-per-second", Value: fmt.Sprint(o.WritesPerSecond, " ", o.ReadsPerSecond), Want: "0 or more"}
	}
	return o, checkAddr("-addr", o.Addr)
}

// serverFlags declares the flags that all stand-in servers share.
func (o *standinServerOptions) serverFlags(f flags) {
	f.Func("id", "`name` of this server, unique", func(s string) error { o.Server.ID = turmericshed.ServerID(s); return nil })
	f.Func("region", "region `name`", func(s string) error { o.Server.Region = turmericshed.Region(s); return nil })
	f.Func("failure-domain", "failure domain `name`", func(s string) error { o.Server.FailureDomain = turmericshed.FailureDomain(s); return nil })
	f.Var(addrPort{&o.Server.Addr}, "addr", "`address:port` to listen at; port 0 chooses one")
	f.Var(addrPort{&o.PlatformAddr}, "platform-addr", "`address:port` of the platform's service")
	f.DurationVar(&o.RestartAfter, "restart-after", 0, "`duration` from a crash to the replacement; 0 ends the process")
	f.DurationVar(&o.LoadLag, "load-lag", 500*time.Millisecond, "`duration` by which load reports lag")
}

func (o *standinServerOptions) check() error {
	if o.Server.ID == "" {
		return &SettingError{Setting: "-id", Want: "a name, unique among servers"}
	}
	if o.Server.FailureDomain == "" {
		return &SettingError{Setting: "-failure-domain", Want: "the failure domain's name"}
	}
	if err := checkAddr("-addr", o.Server.Addr); err != nil {
		return err
	}
	return checkAddr("-platform-addr", o.PlatformAddr)
}

func parseStandinEngine(args []string, errOut io.Writer) (standinEngineOptions, error) {
	var o standinEngineOptions
	f := newFlags("standin engine", "Stands in for a model engine.", errOut)
	o.serverFlags(f)
	f.Func("models", "`names` of the models served, with commas", func(s string) error {
		o.Server.Models = nil
		for m := range strings.SplitSeq(s, ",") {
			o.Server.Models = append(o.Server.Models, turmericshed.Model(strings.TrimSpace(m)))
		}
		return nil
	})
	f.IntVar(&o.Slots, "slots", 16, "`number` of generations that run at once")
	f.DurationVar(&o.StepInterval, "step-interval", 20*time.Millisecond, "`duration` of one step, in which each generation makes a token")
	f.Float64Var(&o.PrefillTokensPerSecond, "prefill-tokens-per-second", 20000, "`number` of prompt tokens computed a second")
	f.IntVar(&o.CacheTokens, "cache-tokens", 100000, "`number` of tokens in the prefix cache")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if len(o.Server.Models) == 0 {
		return o, &SettingError{Setting: "-models", Want: "at least one model's name"}
	}
	if o.Slots < 1 || o.StepInterval <= 0 || o.PrefillTokensPerSecond <= 0 || o.CacheTokens < 0 {
		return o, &SettingError{Setting: "-slots, -step-interval, -prefill-tokens-per-second, -cache-tokens", Want: "numbers above 0"}
	}
	return o, o.check()
}

func parseStandinService(args []string, errOut io.Writer) (standinServiceOptions, error) {
	var o standinServiceOptions
	f := newFlags("standin service", "Stands in for a plain service.", errOut)
	o.serverFlags(f)
	f.StringVar(&o.Server.Service, "service", "", "path `element` under /services/ that it serves")
	f.DurationVar(&o.RunTime, "run-time", 0, "`duration` of a call")
	if err := f.parse(args); err != nil {
		return o, err
	}
	if o.Server.Service == "" {
		return o, &SettingError{Setting: "-service", Want: "the path element under /services/"}
	}
	return o, o.check()
}

func checkAddr(setting string, a netip.AddrPort) error {
	if !a.IsValid() {
		return &SettingError{Setting: setting, Want: "address:port by number"}
	}
	return nil
}
