// Package commander is the command line of the stand-ins.
package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/publisher"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// anyPort is the default address of listeners.
const anyPort = "127.0.0.1:0"

// New returns the command with its subcommands.
func New() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the systems around apricotflow",
		Commands: []*cli.Command{target(), platform(), link(), load(), manifest(), demo(), bench(), soak(), capacity()},
	}
}

func target() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a target until it is interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "address", Value: anyPort, Usage: "address of the target protocol"},
			&cli.StringFlag{Name: "control-address", Value: anyPort, Usage: "address of the endpoints for tests"},
			&cli.IntFlag{Name: "slots", Value: 2},
			&cli.IntFlag{Name: "connections", Value: 25},
			&cli.IntFlag{Name: "cold-limit", Value: 1},
			&cli.StringSliceFlag{Name: "versions", Usage: "`index=version`, separated by commas"},
			&cli.StringFlag{Name: "incarnation", Usage: "random by default"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
			&cli.Float64Flag{Name: "service-ms", Value: 1, Usage: "median service time"},
			&cli.IntFlag{Name: "straggler-percent"},
			&cli.Float64Flag{Name: "straggler-ms"},
			&cli.Float64Flag{Name: "connect-ms", Usage: "delay on a new connection"},
			&cli.Float64Flag{Name: "cold-ms", Usage: "time until warm"},
			&cli.IntFlag{Name: "cold-answers", Usage: "answers until warm"},
			&cli.Float64Flag{Name: "latency-ms", Usage: "one-way latency"},
			&cli.Float64Flag{Name: "report-lag-ms", Usage: "age of the load in reports"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	versions, err := parseVersions(c.StringSlice("versions"))
	if err != nil {
		return err
	}
	t, err := responder.Start(responder.Settings{
		Name: c.String("name"), Address: c.String("address"), Control: c.String("control-address"),
		Slots: c.Int("slots"), Connections: c.Int("connections"), ColdLimit: c.Int("cold-limit"),
		Versions: versions, Incarnation: c.String("incarnation"), Seed: c.Uint64("seed"),
		Service:          milliseconds(c, "service-ms"),
		StragglerPercent: c.Int("straggler-percent"), Straggler: milliseconds(c, "straggler-ms"),
		Connect: milliseconds(c, "connect-ms"),
		Cold:    milliseconds(c, "cold-ms"), ColdAnswers: c.Int("cold-answers"),
		Latency: milliseconds(c, "latency-ms"), ReportLag: milliseconds(c, "report-lag-ms"),
	})
	if err != nil {
		return err
	}
	defer t.Close()
	return runUntil(ctx, c, t)
}

func platform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a configuration service until it is interrupted",
		Flags: []cli.Flag{&cli.StringFlag{Name: "address", Value: anyPort}},
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := publisher.Start(c.String("address"))
			if err != nil {
				return err
			}
			defer p.Close()
			_, _ = fmt.Fprintln(c.Root().Writer, "address", p.Address())
			<-ctx.Done()
			return nil
		},
	}
}

func link() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "forward TCP connections until it is interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: anyPort},
			&cli.StringFlag{Name: "control-address", Value: anyPort, Usage: "address of the endpoints for tests"},
			&cli.StringFlag{Name: "upstream", Required: true, Usage: "address that connections are forwarded to"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			f, err := forwarder.Start(c.String("address"), c.String("upstream"), c.String("control-address"))
			if err != nil {
				return err
			}
			defer f.Close()
			return runUntil(ctx, c, f)
		},
	}
}

// listening is a stand-in with its two addresses.
type listening interface {
	Address() string
	ControlAddress() string
}

// runUntil prints the addresses and waits for the end of the context.
func runUntil(ctx context.Context, c *cli.Command, l listening) error {
	_, _ = fmt.Fprintln(c.Root().Writer, "address", l.Address(), "control", l.ControlAddress())
	<-ctx.Done()
	return nil
}

func milliseconds(c *cli.Command, flag string) time.Duration {
	return time.Duration(c.Float64(flag) * float64(time.Millisecond))
}

// parseVersions reads "index=1,2" items; the command line splits lists at commas, so an item without an index
// belongs to the index before it.
func parseVersions(items []string) ([]encoder.HeldVersion, error) {
	var held []encoder.HeldVersion
	index := ""
	for _, item := range items {
		name, number, found := strings.Cut(item, "=")
		if !found {
			name, number = index, item
		}
		index = name
		version, err := strconv.Atoi(number)
		if err != nil || index == "" {
			return nil, fmt.Errorf("commander: %q is not index=version", item)
		}
		held = append(held, encoder.HeldVersion{Index: index, Version: version})
	}
	return held, nil
}
