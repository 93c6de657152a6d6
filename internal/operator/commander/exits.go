package commander

import "fmt"

// ExitCode is an exit code of the process.
type ExitCode int

// Exit codes, as documented in exitCodeHelp.
const (
	ExitSuccess    ExitCode = 0
	ExitFailed     ExitCode = 1
	ExitUsage      ExitCode = 2
	ExitInvalid    ExitCode = 3
	ExitUnhealthy  ExitCode = 4
	ExitIncomplete ExitCode = 5
	ExitNotRun     ExitCode = 6
	ExitUnknown    ExitCode = 7
)

const exitCodeHelp = `Exit codes:
  0  success; the answer is complete, the deployment is healthy
  1  failed: a file cannot be read, a server does not answer as agreed, or an instance ended with an error
  2  wrong usage of the command line
  3  settings or a manifest were refused
  4  status: the deployment is unhealthy
  5  query: the answer is partial; timeline: some instances did not answer
  6  query: the query did not run and may be sent again
  7  query: the outcome is unknown; send it again only with the same ticket, or if it is idempotent`

// exitError ends the process with a code and an optional message.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func exit(code ExitCode, format string, arguments ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, arguments...)}
}

func usageError(format string, arguments ...any) error {
	return exit(ExitUsage, format, arguments...)
}
