package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// quoteUnprintable quotes text that contains unprintable characters, such as terminal escape sequences.
func quoteUnprintable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

// formatDocumentShare formats part as a percentage of whole, which are numbers of documents.
func formatDocumentShare(part, whole int) string {
	if whole == 0 {
		return "no documents"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(whole))
}

// printJSON writes the value as one line.
func printJSON[T any](w io.Writer, value T) {
	// Encoding cannot fail: the values hold only strings, numbers and booleans, and lists and maps of them. A failed
	// write has no reader to report to.
	_ = json.NewEncoder(w).Encode(value)
}

func parseAddress(flag, text string) (string, error) {
	address, err := netip.ParseAddrPort(strings.TrimSpace(text))
	if err != nil || address.Port() == 0 {
		return "", usageError("%s must be an IP address with a port, such as 127.0.0.1:7001, not %q", flag, text)
	}
	return address.String(), nil
}

// formatAge formats milliseconds as a duration, rounded to 100 ms below a minute and to a second above.
func formatAge(ms int) string {
	d := time.Duration(ms) * time.Millisecond
	switch {
	case d < time.Minute:
		return d.Round(100 * time.Millisecond).String()
	default:
		return d.Round(time.Second).String()
	}
}
