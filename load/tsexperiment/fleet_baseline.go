package tsexperiment

import (
	"time"

	"google.golang.org/protobuf/proto"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/io/tsfleet"
)

// FleetBaseline is the cost of simpler designs for one node at the design size.
type FleetBaseline struct {
	// AllToAll: each node sends a heartbeat to every member each second.
	AllToAllBytesPerSecond float64 `json:"all_to_all_bytes_per_second"`
	AllToAllCPUShare       float64 `json:"all_to_all_cpu_share"`
	// WatchEverything: each node watches and stores all profiles.
	WatchEverythingWatches        int     `json:"watch_everything_watches"`
	WatchEverythingBytesPerSecond float64 `json:"watch_everything_bytes_per_second"`
	WatchEverythingMemoryBytes    float64 `json:"watch_everything_memory_bytes"`
	// WatchEverythingStartBytes is what a restarted node reads.
	WatchEverythingStartBytes float64 `json:"watch_everything_start_bytes"`
}

const (
	// heartbeatRounds is the number of heartbeats that the cost is averaged over.
	heartbeatRounds = 2000
	// datagramHeaderBytes is the size of the IP and UDP headers of one datagram.
	datagramHeaderBytes = 28
)

// measureFleetBaselines measures the cost of one heartbeat and computes the rest from the design
// size.
func measureFleetBaselines(cost TransportCost, mem FleetMemory) FleetBaseline {
	m := newFleetSim(1, 1).members[0]
	message := tsmember.Message{From: tsmember.Update{EntryVM: m.vm, Epoch: 1, Seq: 1, State: turmericshed.MemberAlive}}
	size := proto.Size(tsfleet.EncodeMessage(message))
	start := time.Now()
	for range heartbeatRounds {
		decodeGossip(encodeGossip(message))
	}
	micros := float64(time.Since(start).Microseconds()) / heartbeatRounds
	peers := float64(designMembers - 1)
	// Heartbeats are sent and received as datagrams without replies.
	b := FleetBaseline{
		AllToAllBytesPerSecond: 2 * peers * float64(size+datagramHeaderBytes),
		AllToAllCPUShare:       peers * micros / 1e6,
	}
	perEdit := float64(mem.ProfileText) + cost.BytesPerCall/2
	b.WatchEverythingWatches = designMembers
	b.WatchEverythingBytesPerSecond = perEdit * editsPerDay / (24 * time.Hour).Seconds()
	b.WatchEverythingMemoryBytes = mem.BytesPerProfile * designProfiles
	b.WatchEverythingStartBytes = float64(mem.ProfileText) * designProfiles
	return b
}
