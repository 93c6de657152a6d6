//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// owns reports whether the process of the machine has opened the connection with the given remote address, as it is seen by
// the stand-in that has accepted it. All machines share the loopback address, so the network cannot tell them apart.
func (i *instance) owns(remote net.Addr) bool {
	address, ok := remote.(*net.TCPAddr)
	if !ok {
		return false
	}
	// The table may change while it is read, so that a line is missing from it.
	inode := ""
	for range 3 {
		if inode = socketInode(address); inode != "" {
			break
		}
	}
	if inode == "" {
		return false
	}
	i.mu.Lock()
	command := i.command
	i.mu.Unlock()
	if command == nil {
		return false
	}
	directory := fmt.Sprintf("/proc/%d/fd", command.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket with a local IPv4 address; empty if there is none.
func socketInode(address *net.TCPAddr) string {
	raw, err := os.ReadFile("/proc/net/tcp")
	ip := address.IP.To4()
	if err != nil || ip == nil {
		return ""
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}
