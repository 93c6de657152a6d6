package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/operator/collector"
)

// defaultInstanceTimeout is the default of --timeout, the maximum time for the reply of each instance.
const defaultInstanceTimeout = 3 * time.Second

// instanceFlags returns the flags that select the instances to ask.
func instanceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "ask the instances in the member list of the configuration service at `IP:PORT`"},
		&cli.StringSliceFlag{Name: "instances", Usage: "ask the instances with these admin addresses `IP:PORT,...`"},
		&cli.DurationFlag{Name: "timeout", Value: defaultInstanceTimeout, Usage: "maximum time for the answer of each instance, as a `DURATION` such as 3s"},
	}
}

// findInstances returns the instances that the flags select, and a collector to ask them.
func findInstances(ctx context.Context, command *cli.Command) (*collector.Collector, []collector.Instance, error) {
	if command.IsSet("platform") == command.IsSet("instances") {
		return nil, nil, usageError("%s needs exactly one of --platform and --instances", command.Name)
	}
	if command.Duration("timeout") <= 0 {
		return nil, nil, usageError("--timeout must be a duration above 0, such as 3s")
	}
	c := collector.New(collector.WithTimeout(command.Duration("timeout")))
	if command.IsSet("instances") {
		instances, err := parseInstances(command.StringSlice("instances"))
		return c, instances, err
	}
	platform, err := parseAddress("--platform", command.String("platform"))
	if err != nil {
		return nil, nil, err
	}
	instances, err := c.ListInstances(ctx, platform)
	if err != nil {
		return nil, nil, newExitError(ExitFailed, "%v; use --instances to ask the instances without the platform", err)
	}
	if len(instances) == 0 {
		return nil, nil, newExitError(ExitFailed, "the member list of the platform contains no instance")
	}
	return c, instances, nil
}

func parseInstances(texts []string) ([]collector.Instance, error) {
	instances := make([]collector.Instance, 0, len(texts))
	for _, text := range texts {
		address, err := parseAddress("--instances", text)
		if err != nil {
			return nil, err
		}
		instances = append(instances, collector.Instance{AdminAddress: address})
	}
	return instances, nil
}
