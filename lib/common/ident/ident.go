// Package ident defines the types of the identifiers that several packages use.
package ident

import "strconv"

// HostID identifies an entry host. It is unique within a site and comes from the host's settings.
type HostID string

// UpstreamID identifies an upstream. It comes from the host list.
type UpstreamID string

// ServiceName identifies a service, a group of interchangeable upstreams.
type ServiceName string

// DataCentre identifies a data centre of the site.
type DataCentre string

// ClassName identifies a class of requests. Operators create the classes.
type ClassName string

// Tenant identifies the customer on whose behalf a caller sends a request.
type Tenant string

// Incarnation is a random nonzero number that a process draws at each start. It distinguishes the process from its
// predecessors.
type Incarnation uint64

// String returns the incarnation in hexadecimal, as it appears in logs and request IDs.
func (n Incarnation) String() string { return strconv.FormatUint(uint64(n), 16) }

// RequestID is the sequence number of a request among those that one incarnation of a host has received.
type RequestID uint64
