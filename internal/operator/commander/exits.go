package commander

import "fmt"

// ExitCode is an exit code of the process.
type ExitCode int

// Exit codes. Their meaning is documented in exitCodeHelp.
const (
	ExitSuccess        ExitCode = 0
	ExitFailed         ExitCode = 1
	ExitUsage          ExitCode = 2
	ExitInvalid        ExitCode = 3
	ExitUnhealthy      ExitCode = 4
	ExitIncomplete     ExitCode = 5
	ExitNotRun         ExitCode = 6
	ExitOutcomeUnknown ExitCode = 7
)

const exitCodeHelp = `Exit codes:
  0  success; the answer is complete, the deployment is healthy
  1  failure: a file cannot be read, a server gives no valid answer, or an instance ended with an error
  2  invalid command line
  3  invalid settings or manifest
  4  status: the deployment is unhealthy
  5  query: the answer is partial; timeline: some instances did not answer
  6  query: the query did not run and may be sent again
  7  query: the outcome is unknown; send it again only with the same ticket, or if it is idempotent`

// exitError is an error with the exit code of the process. Its message may be empty.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func newExitError(code ExitCode, format string, arguments ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, arguments...)}
}

func usageError(format string, arguments ...any) error {
	return newExitError(ExitUsage, format, arguments...)
}
