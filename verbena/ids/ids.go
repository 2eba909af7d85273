// Package ids defines the types of identifiers and counters that all programs share.
package ids

// HostID names a host of the fleet.
type HostID string

// ZoneID names an availability zone.
type ZoneID string

// WorkspaceID names a workspace, a customer of the fleet.
type WorkspaceID string

// ServiceName names a model or a plain service as callers address it.
type ServiceName string

// BackendID names a backend server.
type BackendID string

// KeyID names an API key without revealing its secret.
type KeyID string

// RequestID names a caller's request. It is unique over all hosts.
type RequestID string

// PromptPartID names a part of a prompt. Requests whose prompts have a part in common name it alike.
type PromptPartID string

// JobID names a batch job.
type JobID string

// FileID names an uploaded file.
type FileID string

// ItemIndex is the position of an item in its job's input, from 0.
type ItemIndex uint32

// ShardID is the number of a shard of the fleet's state, from 0.
type ShardID uint16

// Epoch counts the owners that a shard has had. It is the fencing token.
type Epoch uint64

// Term counts the leases that a host has held.
type Term uint64

// Version is the platform's revision of an object; 0 means absent.
type Version uint64
