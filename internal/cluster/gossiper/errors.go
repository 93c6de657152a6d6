package gossiper

import "fmt"

// SenderError reports an exchange whose sender is not the peer of the connection.
type SenderError struct {
	Expected string
	Actual   string
}

func (e *SenderError) Error() string {
	return fmt.Sprintf("gossiper: exchange: message of %q on a connection of %q", e.Actual, e.Expected)
}
