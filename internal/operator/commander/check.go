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
		Usage: "validate settings and manifest files before they are published",
		Description: `Validates the files and prints every problem on a line of its own as FILE: PATH: MESSAGE, where PATH is a JSON
path such as $.services[0].targets[1].slots. An instance that receives a manifest with a problem refuses it as a
whole and keeps the previous one.

With --previous, the command also checks that the manifest can replace the previous one: its generation must be
higher, the deployment the same, and the shards of existing index versions unchanged. With --settings and
--manifest, the manifest must contain the failure domain of the instance.

Examples:
  apricotflow check --settings a.json
  apricotflow check --manifest new.json --previous current.json`,
		Flags: []cli.Flag{
			settingsFlag(false),
			&cli.StringFlag{Name: "manifest", Usage: "manifest `FILE` to check"},
			&cli.StringFlag{Name: "previous", Usage: "manifest `FILE` that is replaced by --manifest"},
		},
		Action: withoutArguments(func(_ context.Context, command *cli.Command) error {
			c := &checkRun{out: command.Root().Writer, errOut: command.Root().ErrWriter}
			return c.run(command.String("settings"), command.String("manifest"), command.String("previous"))
		}),
	}
}

// checkRun is one run of the check command. It collects the results of all files.
type checkRun struct {
	out, errOut io.Writer
	problems    int
	// readFailed reports whether a file could not be read.
	readFailed bool
}

func (c *checkRun) run(settingsFile, manifestFile, previousFile string) error {
	if settingsFile == "" && manifestFile == "" {
		return usageError("check needs --settings, --manifest or both")
	}
	if previousFile != "" && manifestFile == "" {
		return usageError("check with --previous needs --manifest")
	}
	settings, settingsValid := c.loadSettings(settingsFile)
	manifest := c.loadManifest(manifestFile)
	previous := c.loadManifest(previousFile)
	if manifest != nil && previous != nil {
		c.reportProblems(manifestFile, resolver.CheckSuccessor(previous, manifest))
	}
	if manifest != nil && settingsValid {
		c.reportProblems(settingsFile, checkFailureDomain(settings, manifest))
	}
	// A file that cannot be read may have more problems, so this code takes precedence.
	if c.readFailed {
		return newExitError(ExitFailed, "check could not read all files")
	}
	if c.problems > 0 {
		return newExitError(ExitInvalid, "check found %s", formatCount(c.problems, "problem"))
	}
	_, _ = fmt.Fprintln(c.out, "no problems found")
	return nil
}

func (c *checkRun) loadSettings(file string) (loader.Settings, bool) {
	if file == "" {
		return loader.Settings{}, false
	}
	settings, err := loader.Load(file)
	var invalid *loader.InvalidError
	if errors.As(err, &invalid) {
		c.reportProblems(file, invalid.Problems)
		return loader.Settings{}, false
	}
	if err != nil {
		c.reportReadError(err)
		return loader.Settings{}, false
	}
	_, _ = fmt.Fprintf(c.out, "%s: settings of instance %s in failure domain %s\n", file, settings.Instance(), settings.FailureDomain())
	return settings, true
}

// loadManifest reads and validates a manifest. It returns nil if no file is given or the manifest is not valid.
func (c *checkRun) loadManifest(file string) *resolver.Manifest {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		c.reportReadError(err)
		return nil
	}
	manifest, err := parser.Parse(raw)
	if err != nil {
		c.reportProblems(file, parser.ProblemsOf(err))
		return nil
	}
	_, _ = fmt.Fprintf(c.out, "%s: manifest of deployment %s, generation %d, digest %s\n", file, manifest.Deployment(), manifest.Generation(), manifest.Digest())
	return manifest
}

func (c *checkRun) reportProblems(file string, problems []resolver.Problem) {
	printProblems(c.errOut, file, problems)
	c.problems += len(problems)
}

func (c *checkRun) reportReadError(err error) {
	printError(c.errOut, err.Error())
	c.readFailed = true
}

func checkFailureDomain(settings loader.Settings, manifest *resolver.Manifest) []resolver.Problem {
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

// reportSettingsError prints the problems of invalid settings and returns the error that ends the command.
func reportSettingsError(w io.Writer, file string, err error) error {
	var invalid *loader.InvalidError
	if !errors.As(err, &invalid) {
		return newExitError(ExitFailed, "%v", err)
	}
	printProblems(w, file, invalid.Problems)
	return newExitError(ExitInvalid, "settings refused with %s", formatCount(len(invalid.Problems), "problem"))
}

// formatCount formats a number with its noun, in the plural unless n is 1.
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
