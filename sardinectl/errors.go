package main

import (
	"fmt"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

// usageError reports a mistake on the command line.
type usageError struct{ Problem string }

func (e *usageError) Error() string { return e.Problem }

// conflictError reports that another operator changed the item first.
type conflictError struct {
	Item    conf.Item
	Current int64
}

func (e *conflictError) Error() string {
	return fmt.Sprintf("conflict: another operator changed %s (now version %d); look at it and try again", e.Item, e.Current)
}

// unknownError reports that the proposal may have been accepted or may still be.
type unknownError struct {
	Item conf.Item
	Err  error
}

func (e *unknownError) Error() string {
	return fmt.Sprintf("outcome unknown: the proposal for %s may have been accepted or may still be: %v", e.Item, e.Err)
}

func (e *unknownError) Unwrap() error { return e.Err }

// unreadError reports that the proposal was not found in the log.
type unreadError struct{ Err error }

func (e *unreadError) Error() string { return fmt.Sprintf("not found in the log: %v", e.Err) }

func (e *unreadError) Unwrap() error { return e.Err }

// fullError reports that the configuration holds as many items as it may.
type fullError struct{ Item conf.Item }

func (e *fullError) Error() string {
	return fmt.Sprintf("not accepted: the configuration has no room for %s; return unused upstreams to service", e.Item)
}

// lostError reports that the log alone does not hold the configuration.
type lostError struct{}

func (*lostError) Error() string {
	return "the log holds no usable checkpoint; a running host appends one within an eighth of the log's retention"
}

// lastDataCentreError reports an attempt to take the whole site out of service.
type lastDataCentreError struct{ DataCentre ident.DataCentre }

func (e *lastDataCentreError) Error() string {
	return fmt.Sprintf("%s is the last data centre of the site in service; -force takes it out all the same", e.DataCentre)
}

// noDataCentreError reports a data centre that the host list does not name.
type noDataCentreError struct{ DataCentre ident.DataCentre }

func (e *noDataCentreError) Error() string {
	return fmt.Sprintf("the host list has no data centre %s; -force takes it out all the same", e.DataCentre)
}

// statusError reports an unexpected response of a host.
type statusError struct{ Status int }

func (e *statusError) Error() string { return fmt.Sprintf("responded with status %d", e.Status) }

// pemError reports a file without the certificate and key of a certification authority.
type pemError struct {
	File string
	Err  error
}

func (e *pemError) Error() string {
	return fmt.Sprintf("%s: no usable certificate and key of a CA: %v", e.File, e.Err)
}

func (e *pemError) Unwrap() error { return e.Err }

// notCAError reports a certificate that must not sign others.
type notCAError struct{}

func (*notCAError) Error() string { return "the certificate is not one of a CA" }
