package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/standin/gauger"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of idle and reconfigured instances at several sizes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "points", Usage: "`instances/targets/changes-per-minute`, separated by commas"},
			&cli.IntFlag{Name: "repeat", Value: 3, Usage: "number of runs of each point"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "measured time of each run"},
		},
		Action: runCapacity,
	}
}

func runCapacity(ctx context.Context, c *cli.Command) error {
	standinPath, err := os.Executable()
	if err != nil {
		return fmt.Errorf("commander: find own executable: %w", err)
	}
	points := gauger.DefaultPoints()
	if items := c.StringSlice("points"); len(items) > 0 {
		points = make([]gauger.Point, len(items))
		for i, item := range items {
			p := &points[i]
			if _, err := fmt.Sscanf(item, "%d/%d/%d", &p.Instances, &p.Targets, &p.ChangesPerMinute); err != nil {
				return fmt.Errorf("commander: parse point %q: %w", item, err)
			}
		}
	}
	return gauger.Run(ctx, gauger.Settings{
		Standin: standinPath, Apricotflow: filepath.Join(filepath.Dir(standinPath), "apricotflow"), Points: points, Repeats: c.Int("repeat"), Duration: c.Duration("duration"),
		Output: c.Root().Writer,
	})
}
