package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/soaker"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a deployment under load with random faults and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "apricotflow", Usage: "path of apricotflow; by default in the directory of this program"},
			&cli.StringFlag{Name: "deployment", Value: deployer.Ulaanbaatar, Usage: deployer.Ulaanbaatar + " or " + deployer.DarEsSalaam},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Minute, Usage: "duration of the schedule of faults"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule of faults"},
			&cli.Float64Flag{Name: "rate", Value: 60, Usage: "queries per second"},
			&cli.StringFlag{Name: "directory", Usage: "receives the output of all processes and the violations found; by default beside this program"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	standinPath, err := os.Executable()
	if err != nil {
		return fmt.Errorf("commander: find own executable: %w", err)
	}
	apricotflowPath, directory := c.String("apricotflow"), c.String("directory")
	if apricotflowPath == "" {
		apricotflowPath = filepath.Join(filepath.Dir(standinPath), "apricotflow")
	}
	if directory == "" {
		directory = filepath.Join(filepath.Dir(standinPath), fmt.Sprintf("soak-%s-%d", c.String("deployment"), c.Uint64("seed")))
	}
	return soaker.Run(ctx, soaker.Settings{
		Standin: standinPath, Apricotflow: apricotflowPath, Deployment: c.String("deployment"), Duration: c.Duration("duration"),
		Seed: c.Uint64("seed"), Rate: c.Float64("rate"), Directory: directory, Output: c.Root().Writer,
	})
}
