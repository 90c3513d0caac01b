// Package ident defines the identifiers that all packages share.
package ident

import "strconv"

// HostID names one entry host; it is unique within a site and comes from the settings.
type HostID string

// UpstreamID names one upstream; it comes from the host list.
type UpstreamID string

// ServiceName names a group of interchangeable upstreams.
type ServiceName string

// DataCentre names a data centre of the site.
type DataCentre string

// ClassName names a class of work that operators created.
type ClassName string

// Tenant names the customer on whose behalf a caller sends a request.
type Tenant string

// Incarnation is a random number drawn at each start of a process; zero is never drawn.
type Incarnation uint64

// String returns the incarnation in hexadecimal, as it appears in logs and request IDs.
func (n Incarnation) String() string { return strconv.FormatUint(uint64(n), 16) }

// RequestID numbers the requests that one host incarnation has received.
type RequestID uint64
