// Package commander defines the command line of the standin program: its subcommands and their flags. It parses the
// flags and calls the packages that implement the stand-ins, the load, the benchmarks and the soak runs. Apart
// from the link and from the second half of the demo, which runs instances in relay mode, they are for native mode. The
// main package in cmd/standin calls it.
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

// loopbackAnyPort is the default address of listeners: any free port on loopback.
const loopbackAnyPort = "127.0.0.1:0"

// New returns the root command with its subcommands.
func New() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the systems around apricotflow",
		Commands: []*cli.Command{targetCommand(), platformCommand(), linkCommand(), loadCommand(), manifestCommand(), demoCommand(), benchCommand(), soakCommand(), capacityCommand()},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a target until it is interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "address", Value: loopbackAnyPort, Usage: "address of the target protocol"},
			&cli.StringFlag{Name: "control-address", Value: loopbackAnyPort, Usage: "address of the control endpoints"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "maximum number of sub-queries that run at the same time"},
			&cli.IntFlag{Name: "connections", Value: 25, Usage: "maximum number of open connections"},
			&cli.IntFlag{Name: "cold-limit", Value: 1, Usage: "number of concurrent sub-queries above which a cold target is overloaded"},
			&cli.StringSliceFlag{Name: "versions", Usage: "`index=version`, separated by commas"},
			&cli.StringFlag{Name: "incarnation", Usage: "incarnation of the target; random by default"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
			&cli.Float64Flag{Name: "service-ms", Value: 1, Usage: "median service time in milliseconds"},
			&cli.IntFlag{Name: "straggler-percent", Usage: "percentage of sub-queries that take straggler-ms"},
			&cli.Float64Flag{Name: "straggler-ms", Usage: "service time of stragglers in milliseconds"},
			&cli.Float64Flag{Name: "connect-ms", Usage: "delay on a new connection in milliseconds"},
			&cli.Float64Flag{Name: "cold-ms", Usage: "minimum time until a cold target is warm, in milliseconds"},
			&cli.IntFlag{Name: "cold-answers", Usage: "minimum number of answers until a cold target is warm"},
			&cli.Float64Flag{Name: "latency-ms", Usage: "one-way latency in milliseconds"},
			&cli.Float64Flag{Name: "report-lag-ms", Usage: "age of the state in reports in milliseconds"},
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
		ServiceTime:      milliseconds(c, "service-ms"),
		StragglerPercent: c.Int("straggler-percent"), StragglerTime: milliseconds(c, "straggler-ms"),
		ConnectDelay: milliseconds(c, "connect-ms"),
		WarmUpTime:   milliseconds(c, "cold-ms"), WarmUpAnswers: c.Int("cold-answers"),
		Latency: milliseconds(c, "latency-ms"), ReportLag: milliseconds(c, "report-lag-ms"),
	})
	if err != nil {
		return err
	}
	defer t.Close()
	return waitForInterrupt(ctx, c, t)
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a configuration service until it is interrupted",
		Flags: []cli.Flag{&cli.StringFlag{Name: "address", Value: loopbackAnyPort}},
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

func linkCommand() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "forward TCP connections until it is interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: loopbackAnyPort},
			&cli.StringFlag{Name: "control-address", Value: loopbackAnyPort, Usage: "address of the control endpoints"},
			&cli.StringFlag{Name: "upstream", Required: true, Usage: "address that connections are forwarded to"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			f, err := forwarder.Start(c.String("address"), c.String("upstream"), c.String("control-address"))
			if err != nil {
				return err
			}
			defer f.Close()
			return waitForInterrupt(ctx, c, f)
		},
	}
}

// controllable is a stand-in with a separate address for control requests.
type controllable interface {
	Address() string
	ControlAddress() string
}

// waitForInterrupt prints the addresses of a stand-in and waits until the context ends.
func waitForInterrupt(ctx context.Context, c *cli.Command, s controllable) error {
	_, _ = fmt.Fprintln(c.Root().Writer, "address", s.Address(), "control", s.ControlAddress())
	<-ctx.Done()
	return nil
}

func milliseconds(c *cli.Command, flag string) time.Duration {
	return time.Duration(c.Float64(flag) * float64(time.Millisecond))
}

// parseVersions parses "index=1,2" items. The command line splits lists at commas, so an item without an index belongs
// to the index of the item before.
func parseVersions(items []string) ([]encoder.HeldVersion, error) {
	var versions []encoder.HeldVersion
	index := ""
	for _, item := range items {
		name, versionText, found := strings.Cut(item, "=")
		if !found {
			name, versionText = index, item
		}
		index = name
		version, err := strconv.Atoi(versionText)
		if err != nil || index == "" {
			return nil, fmt.Errorf("commander: version %q is not of the form index=version", item)
		}
		versions = append(versions, encoder.HeldVersion{Index: index, Version: version})
	}
	return versions, nil
}
