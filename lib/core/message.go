package core

import (
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

// Message is a message from one host to another; exactly one field is set.
type Message struct {
	Heartbeat      *member.Heartbeat
	SlotRequest    *lease.SlotRequest
	SlotGrant      *lease.SlotGrant
	Handoff        *lease.Handoff
	ConfRequest    *ConfRequest
	ConfCheckpoint *ConfCheckpoint
}

// ConfRequest asks a host for its configuration if that is newer than Version.
type ConfRequest struct{ Version int64 }

// ConfCheckpoint carries a checkpoint of the sender's configuration.
type ConfCheckpoint struct {
	Version    int64
	Checkpoint []byte
}
