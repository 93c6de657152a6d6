package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/loader"
)

func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings and manifests before they are published",
		Description: `Reports every problem of the files at once, one a line as FILE: PATH: MESSAGE, where PATH is a JSON path such as
$.services[0].targets[1].slots. Instances refuse a manifest with any problem as a whole and keep the previous one.

With --previous, the manifest must also be able to replace the previous one: the generation rises, the deployment
stays the same, and no index version changes its shards. With --settings and --manifest, the failure domain of the
instance must be one of the manifest.

Examples:
  apricotflow check --settings a.json
  apricotflow check --manifest new.json --previous current.json`,
		Flags: []cli.Flag{
			settingsFlag(false),
			&cli.StringFlag{Name: "manifest", Usage: "manifest `FILE` to check"},
			&cli.StringFlag{Name: "previous", Usage: "manifest `FILE` that --manifest replaces"},
		},
		Action: withoutArguments(func(_ context.Context, command *cli.Command) error {
			c := &check{out: command.Root().Writer, errOut: command.Root().ErrWriter}
			return c.run(command.String("settings"), command.String("manifest"), command.String("previous"))
		}),
	}
}

// check collects the result over all files.
type check struct {
	out, errOut io.Writer
	problems    int
	// failed is set when a file could not be read.
	failed bool
}

func (c *check) run(settingsFile, manifestFile, previousFile string) error {
	if settingsFile == "" && manifestFile == "" {
		return usageError("check needs --settings, --manifest or both")
	}
	if previousFile != "" && manifestFile == "" {
		return usageError("check needs --manifest with --previous")
	}
	settings, settingsValid := c.settings(settingsFile)
	manifest := c.manifest(manifestFile)
	previous := c.manifest(previousFile)
	if manifest != nil && previous != nil {
		c.report(manifestFile, resolver.CheckSuccessor(previous, manifest))
	}
	if manifest != nil && settingsValid {
		c.report(settingsFile, checkDomain(settings, manifest))
	}
	if c.failed {
		return exit(ExitFailed, "check could not read every file")
	}
	if c.problems > 0 {
		return exit(ExitInvalid, "check found %s", count(c.problems, "problem"))
	}
	_, _ = fmt.Fprintln(c.out, "no problems found")
	return nil
}

func (c *check) settings(file string) (loader.Settings, bool) {
	if file == "" {
		return loader.Settings{}, false
	}
	settings, err := loader.Load(file)
	var invalid *loader.InvalidError
	if errors.As(err, &invalid) {
		c.report(file, invalid.Problems)
		return loader.Settings{}, false
	}
	if err != nil {
		c.fail(err)
		return loader.Settings{}, false
	}
	_, _ = fmt.Fprintf(c.out, "%s: settings of instance %s in failure domain %s\n", file, settings.Instance(), settings.FailureDomain())
	return settings, true
}

// manifest returns nil if there is no valid manifest.
func (c *check) manifest(file string) *resolver.Manifest {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		c.fail(err)
		return nil
	}
	manifest, err := parser.Parse(raw)
	if err != nil {
		c.report(file, parser.ProblemsOf(err))
		return nil
	}
	_, _ = fmt.Fprintf(c.out, "%s: manifest of deployment %s, generation %d, digest %s\n", file, manifest.Deployment(), manifest.Generation(), manifest.Digest())
	return manifest
}

func (c *check) report(file string, problems []resolver.Problem) {
	printProblems(c.errOut, file, problems)
	c.problems += len(problems)
}

func (c *check) fail(err error) {
	printError(c.errOut, err.Error())
	c.failed = true
}

func checkDomain(settings loader.Settings, manifest *resolver.Manifest) []resolver.Problem {
	for _, d := range manifest.FailureDomains() {
		if d.Name == settings.FailureDomain() {
			return nil
		}
	}
	return []resolver.Problem{{Path: "$.failure-domain", Message: fmt.Sprintf("the manifest has no failure domain %q", settings.FailureDomain())}}
}

func printProblems(w io.Writer, file string, problems []resolver.Problem) {
	for _, p := range problems {
		_, _ = fmt.Fprintf(w, "%s: %s\n", file, p)
	}
}

// refusal prints the problems of settings and returns the exit error.
func refusal(w io.Writer, file string, err error) error {
	var invalid *loader.InvalidError
	if !errors.As(err, &invalid) {
		return exit(ExitFailed, "%v", err)
	}
	printProblems(w, file, invalid.Problems)
	return exit(ExitInvalid, "settings refused with %s", count(len(invalid.Problems), "problem"))
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
