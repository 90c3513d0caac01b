package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"sardinecross.example/lib/core"
)

// Refusal is an error answer from sardinecross itself, not from an upstream.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is the machine-readable reason, Message the human-readable one.
	Code    string
	Run     core.Run
	Message string
	// RetryAfter is the time after which a repetition may succeed; it is omitted from the answer if it is zero.
	RetryAfter time.Duration
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code       string `json:"code"`
	Run        string `json:"run"`
	Message    string `json:"message"`
	RetryAfter string `json:"retryAfter,omitempty"`
}

// WriteRefusal writes a refusal to sink.
func WriteRefusal(sink Sink, refusal Refusal) error {
	e := refusalError{Code: refusal.Code, Run: refusal.Run.String(), Message: refusal.Message}
	if refusal.RetryAfter > 0 {
		e.RetryAfter = refusal.RetryAfter.String()
	}
	body, err := json.Marshal(refusalBody{Error: e})
	if err != nil {
		return err
	}
	header := http.Header{
		"Content-Type": {"application/json"},
		"X-Run":        {refusal.Run.String()},
	}
	return writeBuffered(sink, refusal.Status, header, body)
}

// writeStoredAnswer writes a stored answer of an upstream to sink.
func writeStoredAnswer(sink Sink, a *core.Answer) error {
	header := http.Header(a.Header).Clone()
	if header == nil {
		header = make(http.Header, 1)
	}
	header["X-Run"] = []string{core.RunYes.String()}
	return writeBuffered(sink, a.Status, header, a.Body)
}

// writeBuffered writes an answer whose whole body is in memory.
func writeBuffered(sink Sink, status int, header http.Header, body []byte) error {
	if err := sink.WriteHead(status, header, int64(len(body))); err != nil {
		return err
	}
	_, err := sink.Write(body)
	return err
}

// refusalStatus returns the HTTP status for a refusal by the reducer.
func refusalStatus(e core.Refuse) int {
	switch {
	case e.Reason == core.ReasonUnknownClass:
		return http.StatusNotFound
	case e.Run == core.RunNo:
		return http.StatusServiceUnavailable
	case e.Run == core.RunUnknown && e.Reason == core.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

var refusalMessages = map[core.Reason]string{
	core.ReasonUnknownClass:   "the class does not exist",
	core.ReasonConfigStale:    "the host's configuration is out of date",
	core.ReasonQueueFull:      "the queue of the class is full",
	core.ReasonNoCapacity:     "no upstream has capacity",
	core.ReasonDeadline:       "the deadline passed",
	core.ReasonStopping:       "the host is stopping",
	core.ReasonUpstreamFailed: "the upstream failed",
	core.ReasonUnknownToken:   "the request ID was not issued",
	core.ReasonExpiredToken:   "the request ID has expired",
	core.ReasonHostGone:       "the host that issued the request ID is not reachable",
	core.ReasonTableFull:      "too many request IDs are in use",
	core.ReasonClaimFailed:    "the key could not be claimed in the log",
	core.ReasonInProgress:     "a request with the same ID or key is in progress",
	core.ReasonAnswerTooLarge: "the request was run, but its answer was too large to be stored",
}

// refusalMessage returns the human-readable text of a reason, or the reason itself if it has no text.
func refusalMessage(reason core.Reason) string {
	if message, ok := refusalMessages[reason]; ok {
		return message
	}
	return string(reason)
}
