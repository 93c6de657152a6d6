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

func load() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send queries at a fixed rate and verify the answers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "manifest", Required: true, Usage: "manifest `file` with the query classes"},
			&cli.StringSliceFlag{Name: "entries", Required: true, Usage: "caller addresses of the instances"},
			&cli.StringSliceFlag{Name: "targets", Usage: "control addresses of the targets"},
			&cli.StringSliceFlag{Name: "admins", Usage: "addresses for operators of the instances"},
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "queries per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "resend-percent", Value: 10, Usage: "share of the tickets that are sent twice"},
			&cli.Float64Flag{Name: "latency-ms", Usage: "one-way latency to the instances"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	m, err := readManifest(c.String("manifest"))
	if err != nil {
		return err
	}
	newest := func() encoder.Manifest {
		if changed, err := readManifest(c.String("manifest")); err == nil {
			return changed
		}
		return m
	}
	r := driver.New(driver.Settings{
		Manifest: m, Newest: newest, Entries: c.StringSlice("entries"), Targets: c.StringSlice("targets"), Admins: c.StringSlice("admins"),
		Rate: c.Float64("rate"), Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
		ResendPercent: c.Int("resend-percent"), Latency: milliseconds(c, "latency-ms"),
	}).Run(ctx)
	if err := printJSON(c, r); err != nil {
		return err
	}
	if r.ViolationCount > 0 {
		return fmt.Errorf("commander: %d violations", r.ViolationCount)
	}
	return nil
}

func readManifest(file string) (encoder.Manifest, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return encoder.Manifest{}, fmt.Errorf("commander: %w", err)
	}
	m, err := encoder.Decode[encoder.Manifest](raw)
	if err != nil {
		return m, fmt.Errorf("commander: manifest: %w", err)
	}
	return m, nil
}

func manifest() *cli.Command {
	return &cli.Command{
		Name:  "manifest",
		Usage: "print the manifest of a deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Required: true, Usage: deployer.Ulaanbaatar + " or " + deployer.DarEsSalaam},
			&cli.IntFlag{Name: "scale", Value: 1, Usage: "divides the number of services and leaves"},
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

func demo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both deployments at a small scale, and instances that relay",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "apricotflow", Usage: "path of the product; by default beside this program"},
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "queries per second"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "time for each deployment"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	own, product, err := programs(c)
	if err != nil {
		return err
	}
	err = demonstrator.Run(ctx, demonstrator.Settings{
		Standin: own, Apricotflow: product, Rate: c.Float64("rate"), Duration: c.Duration("duration"),
		Seed: c.Uint64("seed"), Output: c.Root().Writer,
	})
	if err != nil {
		return err
	}
	return rehearser.Demo(ctx, product, c.Float64("rate"), c.Duration("duration"), c.Root().Writer)
}

// programs returns the paths of this program and of the product.
func programs(c *cli.Command) (own, product string, err error) {
	if own, err = os.Executable(); err != nil {
		return "", "", fmt.Errorf("commander: %w", err)
	}
	if product = c.String("apricotflow"); product == "" {
		product = filepath.Join(filepath.Dir(own), "apricotflow")
	}
	return own, product, nil
}

func printJSON(c *cli.Command, value any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
