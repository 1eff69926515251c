package configurer

import (
	"github.com/primrosewall/primrosewall/pkg/bounder"
	"github.com/primrosewall/primrosewall/pkg/decoder"
)

// Callers bounds what callers can make the process hold before they are answered, over all
// listeners together. A value of 0 selects the default, which follows from Memory; without
// Memory there is no bound.
type Callers struct {
	// Connections is the number of connections from callers and other nodes.
	Connections int `json:"connections"`
	// Memory is the memory of heads and short bodies, in MiB.
	Memory int `json:"memory"`
	// Lines is the number of lines of a head.
	Lines int `json:"lines"`
	// Outgoing is the number of connections to targets and other nodes that their requests
	// open.
	Outgoing int `json:"outgoing"`
}

const (
	// smallestMachineMemory, in MiB, and smallestMachineDescriptors are those of the
	// smallest machines on which nodes run.
	smallestMachineMemory      = 184
	smallestMachineDescriptors = 4100
	// incomingShare is the part of the descriptors for connections from callers and other
	// nodes. The rest is for those to targets and other nodes, and for files.
	incomingShare = 3.0 / 4
	// outgoingShare is the part for connections that requests open to targets and other
	// nodes. What is left is for messages between nodes and for files.
	outgoingShare = 3.0 / 20
	// headsShare is the part of the memory for heads and short bodies. About a third goes
	// to the rest of the process, another to the buffers of connections.
	headsShare = 1.0 / 8
	// defaultLines is more than the lines that a head of 16 KiB can have, at three bytes
	// each.
	defaultLines = 5500
	// maxConnections is more than the descriptors of a process usually allow.
	maxConnections = 100_000
	// minLines leaves room for the lines that common clients send.
	minLines = 32
)

// CallerBounds returns the bounds in force, without any if the settings name no memory.
func (s *Settings) CallerBounds() bounder.Limits {
	limits := bounder.Limits{Connections: s.Callers.Connections, Bytes: int64(s.Callers.Memory) << 20, Lines: s.Callers.Lines}
	if s.Memory <= 0 {
		return limits
	}
	if limits.Connections == 0 {
		limits.Connections = int(float64(s.Memory) * incomingShare * smallestMachineDescriptors / smallestMachineMemory)
	}
	if limits.Bytes == 0 {
		limits.Bytes = int64(float64(s.Memory<<20) * headsShare)
	}
	if limits.Lines == 0 {
		limits.Lines = defaultLines
	}
	return limits
}

// OutgoingLimit returns the bound on connections to targets and other nodes, or 0 for none.
func (s *Settings) OutgoingLimit() int {
	if s.Callers.Outgoing != 0 || s.Memory <= 0 {
		return s.Callers.Outgoing
	}
	return int(float64(s.Memory) * outgoingShare * smallestMachineDescriptors / smallestMachineMemory)
}

// checkCallers checks Callers.
func (s *Settings) checkCallers(d *decoder.Document) error {
	c := s.Callers
	if c.Connections < 0 || c.Connections > maxConnections {
		return d.Problem("callers/connections", "is %d; 1 to %d, or 0 for the default, would be right", c.Connections, maxConnections)
	}
	if c.Outgoing < 0 || c.Outgoing > maxConnections {
		return d.Problem("callers/outgoing", "is %d; 1 to %d, or 0 for the default, would be right", c.Outgoing, maxConnections)
	}
	if c.Memory < 0 || (s.Memory > 0 && c.Memory > s.Memory/2) {
		return d.Problem("callers/memory", "is %d; MiB up to half of memory, or 0 for the default, would be right", c.Memory)
	}
	if c.Lines < 0 || (c.Lines > 0 && c.Lines < minLines) {
		return d.Problem("callers/lines", "is %d; %d lines or more, or 0 for the default, would be right", c.Lines, minLines)
	}
	return nil
}
