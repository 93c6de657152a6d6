package gossiper

import "fmt"

// SenderError reports an exchange whose sender differs from the peer of the connection, by name or incarnation.
type SenderError struct {
	Expected string
	Actual   string
}

func (e *SenderError) Error() string {
	return fmt.Sprintf("gossiper: exchange: message of %q on a connection of %q", e.Actual, e.Expected)
}
