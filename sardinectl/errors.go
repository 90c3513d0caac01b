package main

import (
	"fmt"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

// usageError reports an invalid command line or argument.
type usageError struct{ Problem string }

func (e *usageError) Error() string { return e.Problem }

// conflictError reports a proposal that was rejected because another operator had changed the item since it was read.
type conflictError struct {
	Item    conf.Item
	Current int64
}

func (e *conflictError) Error() string {
	return fmt.Sprintf("conflict: another operator changed %s, which is now at version %d; check the new value and try again", e.Item, e.Current)
}

// unknownOutcomeError reports a proposal whose decision could not be read: it may have been accepted or may still be.
type unknownOutcomeError struct {
	Item conf.Item
	Err  error
}

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: the proposal for %s may have been accepted, or may be accepted later: %v", e.Item, e.Err)
}

func (e *unknownOutcomeError) Unwrap() error { return e.Err }

// noDecisionError reports that the time for the command ended before the proposal was found in the log.
type noDecisionError struct{ Err error }

func (e *noDecisionError) Error() string {
	return fmt.Sprintf("the proposal was not found in the log: %v", e.Err)
}

func (e *noDecisionError) Unwrap() error { return e.Err }

// configurationFullError reports a proposal for a new item when the configuration already holds the greatest allowed
// number.
type configurationFullError struct{ Item conf.Item }

func (e *configurationFullError) Error() string {
	return fmt.Sprintf("not accepted: the configuration is full and cannot hold %s; return unused upstreams to service", e.Item)
}

// noCheckpointError reports that the log has deleted older records and holds no checkpoint that replaces them, so that
// the configuration cannot be read from the log alone.
type noCheckpointError struct{}

func (*noCheckpointError) Error() string {
	return "the log holds no usable checkpoint; a running host appends one within an eighth of the log's retention"
}

// lastDataCentreError reports a command that would take the last data centre, and so the whole site, out of service.
type lastDataCentreError struct{ DataCentre ident.DataCentre }

func (e *lastDataCentreError) Error() string {
	return fmt.Sprintf("%s is the last data centre of the site in service; use -force to take it out of service", e.DataCentre)
}

// unknownDataCentreError reports a data centre that has no host in the host list.
type unknownDataCentreError struct{ DataCentre ident.DataCentre }

func (e *unknownDataCentreError) Error() string {
	return fmt.Sprintf("the host list has no data centre %s; use -force to take it out of service", e.DataCentre)
}

// statusError reports an HTTP status other than 200 in the response of a host.
type statusError struct{ Status int }

func (e *statusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// caFileError reports a file without the certificate and key of a certification authority.
type caFileError struct {
	File string
	Err  error
}

func (e *caFileError) Error() string {
	return fmt.Sprintf("%s: no usable certificate and key of a CA: %v", e.File, e.Err)
}

func (e *caFileError) Unwrap() error { return e.Err }

// notCAError reports a certificate without the CA flag, which must not sign other certificates.
type notCAError struct{}

func (*notCAError) Error() string { return "the certificate is not a CA certificate" }
