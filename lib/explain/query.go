package explain

import (
	"bufio"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
)

const (
	// Path is the path at which a host answers queries.
	Path = "/explain"
	// KeyHeader is the header of a query with the client's key, which must not be part of an address.
	KeyHeader = "Key"
	// Parameters of a query.
	paramMethod = "method"
	paramHost   = "host"
	paramPath   = "path"
	paramHeader = "header"
)

// QueryError reports an invalid query. It doesn't contain values of headers.
type QueryError struct{ Problem string }

// Error implements error.
func (e *QueryError) Error() string { return e.Problem }

// Query describes a request without its key and its body.
type Query struct {
	Method, Host, Path string
	Header             http.Header
}

// check returns a QueryError if no request can be as the query says.
func (q *Query) check() error {
	switch {
	case q.Method == "" || strings.ContainsFunc(q.Method, func(r rune) bool { return r < 'A' || r > 'Z' }):
		return &QueryError{"method: not a method of HTTP in upper case"}
	case q.Host == "" || strings.ContainsAny(q.Host, " /\r\n"):
		return &QueryError{"host: empty or not a host name"}
	case !strings.HasPrefix(q.Path, "/"):
		return &QueryError{"path: does not begin with a slash"}
	}
	if _, err := url.ParseRequestURI(q.Path); err != nil {
		return &QueryError{"path: not valid"}
	}
	return nil
}

// New returns a query for a request with header lines such as "Name: value". The error is a QueryError.
func New(method, host, path string, headerLines []string) (*Query, error) {
	q := &Query{Method: method, Host: host, Path: path, Header: make(http.Header)}
	for _, line := range headerLines {
		h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(line + "\r\n\r\n"))).ReadMIMEHeader()
		if err != nil || len(h) != 1 || strings.ContainsAny(line, "\r\n") {
			return nil, &QueryError{"header: not a line such as 'Name: value'"}
		}
		for name, values := range h {
			if strings.EqualFold(strings.TrimSpace(name), KeyHeader) {
				return nil, &QueryError{"header: the key must not be part of an address; it is sent in the header " + KeyHeader + " of the query"}
			}
			q.Header[name] = append(q.Header[name], values...)
		}
	}
	return q, q.check()
}

// Parse returns the query of an address. The error is a QueryError.
func Parse(values url.Values) (*Query, error) {
	for name, v := range values {
		switch {
		case !slices.Contains([]string{paramMethod, paramHost, paramPath, paramHeader}, name):
			return nil, &QueryError{fmt.Sprintf("%.50q: not a parameter of a query", name)}
		case len(v) > 1 && name != paramHeader:
			return nil, &QueryError{name + ": given twice"}
		}
	}
	return New(values.Get(paramMethod), values.Get(paramHost), values.Get(paramPath), values[paramHeader])
}

// Values returns the parameters of an address that Parse returns as the query.
func (q *Query) Values() url.Values {
	v := url.Values{paramMethod: {q.Method}, paramHost: {q.Host}, paramPath: {q.Path}}
	for name, values := range q.Header {
		for _, value := range values {
			v.Add(paramHeader, name+": "+value)
		}
	}
	return v
}
