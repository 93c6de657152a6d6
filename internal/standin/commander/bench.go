package commander

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/standin/bencher"
	"apricotflow/internal/standin/deployer"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare each policy with a simpler one, and measure the service during changes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "apricotflow", Usage: "path of apricotflow; by default in the directory of this program"},
			&cli.StringSliceFlag{Name: "deployment", Usage: deployer.Ulaanbaatar + " or " + deployer.DarEsSalaam + "; both by default"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "number of measurements of each policy"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "duration of one measurement"},
			&cli.Float64Flag{Name: "rate", Value: 200, Usage: "queries per second"},
			&cli.StringFlag{Name: "only", Usage: "one of " + strings.Join(bencher.Names(), ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "`file` that receives the report"},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	standinPath, apricotflowPath, err := programPaths(c)
	if err != nil {
		return err
	}
	return bencher.Run(ctx, bencher.Settings{
		Standin: standinPath, Apricotflow: apricotflowPath, Deployments: c.StringSlice("deployment"), Rounds: c.Int("rounds"),
		Duration: c.Duration("duration"), Rate: c.Float64("rate"), Only: c.String("only"), Seed: c.Uint64("seed"),
		JSON: c.String("json"), Output: c.Root().Writer,
	})
}
