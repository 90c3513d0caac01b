package core

import (
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

// Message is what one host sends to another; exactly one field is set.
type Message struct {
	Heartbeat   *member.Heartbeat
	SlotRequest *lease.SlotRequest
	SlotGrant   *lease.SlotGrant
	Handoff     *lease.Handoff
	ConfRequest *ConfRequest
	ConfRecords *ConfRecords
}

// ConfRequest asks a host for the configuration that follows a version.
type ConfRequest struct{ From int64 }

// ConfRecords carries a checkpoint of the sender's configuration.
type ConfRecords struct {
	Version    int64
	Checkpoint []byte
}
