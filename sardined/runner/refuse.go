package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"sardinecross.example/lib/core"
)

// Refusal is an answer of sardinecross itself.
type Refusal struct {
	Status     int
	Code       string
	Run        core.Run
	Message    string
	RetryAfter time.Duration
}

// refusalBody is the body of a refusal.
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
func WriteRefusal(sink Sink, f Refusal) error {
	e := refusalError{Code: f.Code, Run: f.Run.String(), Message: f.Message}
	if f.RetryAfter > 0 {
		e.RetryAfter = f.RetryAfter.String()
	}
	body, err := json.Marshal(refusalBody{Error: e})
	if err != nil {
		return err
	}
	header := http.Header{
		"Content-Type": {"application/json"},
		"X-Run":        {f.Run.String()},
	}
	return writeWhole(sink, f.Status, header, body)
}

// writeAnswer writes a stored answer to sink.
func writeAnswer(sink Sink, a *core.Answer) error {
	header := http.Header(a.Header).Clone()
	if header == nil {
		header = make(http.Header, 1)
	}
	header["X-Run"] = []string{core.RunYes.String()}
	return writeWhole(sink, a.Status, header, a.Body)
}

func writeWhole(sink Sink, status int, header http.Header, body []byte) error {
	if err := sink.Head(status, header, int64(len(body))); err != nil {
		return err
	}
	_, err := sink.Write(body)
	return err
}

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

var refusalTexts = map[core.Reason]string{
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

func refusalText(reason core.Reason) string {
	if text, ok := refusalTexts[reason]; ok {
		return text
	}
	return string(reason)
}
