// Command turmericshed is the only binary of the router fleet; its subcommands
// start the fleet's processes and tools.
//
// # Usage
//
//	turmericshed <command> [flags]
//	turmericshed -h
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"turmericshed/io/tscommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(tscommand.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
