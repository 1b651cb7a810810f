package tscommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"

	"turmericshed"
	wire "turmericshed/io/tsplatform"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsnode"
	"turmericshed/standin/tsplatform"
	"turmericshed/standin/tsservice"
)

// runStandin runs the subcommands that simulate the platform, an engine or a service.
// Each serves until ctx is done.
func runStandin(ctx context.Context, args []string, out, errOut io.Writer) error {
	return dispatch(ctx, "standin", []command{
		{"platform", "the key-value service and the list of VMs", runStandinPlatform},
		{"engine", "a model engine", runStandinEngine},
		{"service", "a plain service: bookings, orders, look-ups", runStandinService},
	}, args, out, errOut)
}

func runStandinPlatform(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseStandinPlatform(args, errOut)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.Addr.String())
	if err != nil {
		return err
	}
	store := tsplatform.NewStore(tsplatform.Options{WritesPerSecond: o.WritesPerSecond, ReadsPerSecond: o.ReadsPerSecond})
	dir := tsplatform.NewDirectory(tsplatform.DirectoryOptions{Lag: o.ListLag, Expiry: o.ListExpiry})
	announceAddr(out, "platform", netip.MustParseAddrPort(ln.Addr().String()))
	return ignoreCancellation(ctx, tsplatform.NewServer(store, dir).Serve(ctx, ln))
}

func runStandinEngine(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseStandinEngine(args, errOut)
	if err != nil {
		return err
	}
	node, err := o.node()
	if err != nil {
		return err
	}
	e, err := tsengine.Listen(tsengine.Options{
		Node: node, Slots: o.Slots, StepInterval: o.StepInterval,
		PrefillTokensPerSecond: o.PrefillTokensPerSecond, CacheTokens: turmericshed.Tokens(o.CacheTokens), LoadLag: o.LoadLag,
	})
	if err != nil {
		return err
	}
	announceAddr(out, "engine", e.Server().Addr)
	return ignoreCancellation(ctx, e.Serve(ctx))
}

func runStandinService(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseStandinService(args, errOut)
	if err != nil {
		return err
	}
	node, err := o.node()
	if err != nil {
		return err
	}
	s, err := tsservice.Listen(tsservice.Options{Node: node, RunTime: o.RunTime, LoadLag: o.LoadLag})
	if err != nil {
		return err
	}
	announceAddr(out, "service", s.Server().Addr)
	return ignoreCancellation(ctx, s.Serve(ctx))
}

// node returns the options of the stand-in's server.
func (o standinServerOptions) node() (tsnode.Options, error) {
	client, err := wire.NewClient(o.PlatformAddr, wire.Options{Caller: string(o.Server.ID)})
	return tsnode.Options{Server: o.Server, Platform: client, RestartAfter: o.RestartAfter}, err
}

// announceAddr prints the listen address, whose port is not known in advance if it was
// set to 0.
func announceAddr(out io.Writer, component string, addr netip.AddrPort) {
	_, _ = fmt.Fprintf(out, "%s listens at %s\n", component, addr)
}

// ignoreCancellation returns nil if err is the error of ctx, and err otherwise.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
