// Package loopback holds only the tests of packages connector and dispatcher, which run against a fake target on the
// loopback interface.
package loopback
