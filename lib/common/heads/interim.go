package heads

import (
	"fmt"
	"net/http"
	"net/textproto"
)

// MaxInterim limits the interim (1xx) responses before the final response.
const MaxInterim = 8

// InterimLimitError reports more interim responses than the limit allows.
type InterimLimitError struct{ Limit int }

// Error implements error.
func (e *InterimLimitError) Error() string {
	return fmt.Sprintf("more than %d interim responses", e.Limit)
}

// Interim checks the interim responses to one request. The zero value is ready to use.
type Interim struct{ count int }

// Check can be the Got1xxResponse of an httptrace.ClientTrace. It returns an error if the head of the response is not valid, or if there
// were too many before it: net/http itself does not limit them while there is such a function.
func (i *Interim) Check(_ int, header textproto.MIMEHeader) error {
	if i.count++; i.count > MaxInterim {
		return &InterimLimitError{MaxInterim}
	}
	return checkNames(http.Header(header))
}
