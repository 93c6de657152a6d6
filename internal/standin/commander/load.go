package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/standin/demonstrator"
	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/rehearser"
	"apricotflow/internal/wire/encoder"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send queries at a fixed rate and verify the answers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "manifest", Required: true, Usage: "manifest `file` with the query classes"},
			&cli.StringSliceFlag{Name: "entries", Required: true, Usage: "caller addresses of the instances"},
			&cli.StringSliceFlag{Name: "targets", Usage: "control addresses of the targets"},
			&cli.StringSliceFlag{Name: "admins", Usage: "admin addresses of the instances"},
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "queries per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "resend-percent", Value: 10, Usage: "percentage of answered queries with a ticket that are sent again"},
			&cli.Float64Flag{Name: "latency-ms", Usage: "one-way latency to the instances in milliseconds"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	m, err := readManifest(c.String("manifest"))
	if err != nil {
		return err
	}
	// The file may be rewritten at this moment; if it cannot be read, the driver goes on with the manifest of the
	// start.
	newestManifest := func() encoder.Manifest {
		if changed, err := readManifest(c.String("manifest")); err == nil {
			return changed
		}
		return m
	}
	r := driver.New(driver.Settings{
		Manifest: m, NewestManifest: newestManifest, CallerAddresses: c.StringSlice("entries"), TargetControlAddresses: c.StringSlice("targets"), AdminAddresses: c.StringSlice("admins"),
		Rate: c.Float64("rate"), Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
		ResendPercent: c.Int("resend-percent"), Latency: milliseconds(c, "latency-ms"),
	}).Run(ctx)
	if err := printJSON(c, r); err != nil {
		return err
	}
	if r.ViolationCount > 0 {
		return fmt.Errorf("commander: load found %d violations", r.ViolationCount)
	}
	return nil
}

func readManifest(file string) (encoder.Manifest, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return encoder.Manifest{}, fmt.Errorf("commander: read manifest: %w", err)
	}
	m, err := encoder.Decode[encoder.Manifest](raw)
	if err != nil {
		return m, fmt.Errorf("commander: decode manifest: %w", err)
	}
	return m, nil
}

func manifestCommand() *cli.Command {
	return &cli.Command{
		Name:  "manifest",
		Usage: "print the manifest of a deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Required: true, Usage: deployer.Ulaanbaatar + " or " + deployer.DarEsSalaam},
			&cli.IntFlag{Name: "scale", Value: 1, Usage: "divisor of the numbers of services and targets"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			plan, err := deployer.New(c.String("deployment"), c.Int("scale"), nil)
			if err != nil {
				return err
			}
			return printJSON(c, plan.Manifest)
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the deployments " + deployer.Ulaanbaatar + " and " + deployer.DarEsSalaam + " and then instances that relay requests, at a small scale",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "apricotflow", Usage: "path of apricotflow; by default in the directory of this program"},
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "queries per second"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "duration of the load on each deployment"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: runDemo,
	}
}

// runDemo runs the demo of native mode (package demonstrator) and then the one of relay mode (package rehearser).
func runDemo(ctx context.Context, c *cli.Command) error {
	standinPath, apricotflowPath, err := programPaths(c)
	if err != nil {
		return err
	}
	err = demonstrator.Run(ctx, demonstrator.Settings{
		Standin: standinPath, Apricotflow: apricotflowPath, Rate: c.Float64("rate"), Duration: c.Duration("duration"),
		Seed: c.Uint64("seed"), Output: c.Root().Writer,
	})
	if err != nil {
		return err
	}
	return rehearser.Demo(ctx, apricotflowPath, c.Float64("rate"), c.Duration("duration"), c.Root().Writer)
}

// programPaths returns the paths of this program and of apricotflow.
func programPaths(c *cli.Command) (standinPath, apricotflowPath string, err error) {
	if standinPath, err = os.Executable(); err != nil {
		return "", "", fmt.Errorf("commander: find own executable: %w", err)
	}
	if apricotflowPath = c.String("apricotflow"); apricotflowPath == "" {
		apricotflowPath = filepath.Join(filepath.Dir(standinPath), "apricotflow")
	}
	return standinPath, apricotflowPath, nil
}

func printJSON(c *cli.Command, value any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
