package applog

import (
	"encoding/json"
	"fmt"
)

// appendResponse is the JSON body of the response to an append.
type appendResponse struct {
	Offset *int64 `json:"offset"`
}

// readResponse is the JSON body of the response to a read.
type readResponse struct {
	Records []recordResponse `json:"records"`
	First   *int64           `json:"first"`
	Next    *int64           `json:"next"`
}

// recordResponse is one record in a readResponse.
type recordResponse struct {
	Offset *int64 `json:"offset"`
	Data   []byte `json:"data"`
}

// decodeAppend decodes the response to an append and returns the offset.
func decodeAppend(body []byte) (int64, error) {
	var resp appendResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return 0, &DecodeError{Problem: "the append response is not valid JSON", Err: err}
	}
	if resp.Offset == nil || *resp.Offset < 0 {
		return 0, &DecodeError{Problem: "the append response has no valid offset"}
	}
	return *resp.Offset, nil
}

// decodeBatch decodes the response to a read of at most limit records from offset from.
// The offsets must be consecutive from max(from, first) on, since a gap would make hosts reach different decisions.
func decodeBatch(body []byte, from int64, limit int) (Batch, error) {
	var resp readResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return Batch{}, &DecodeError{Problem: "the read response is not valid JSON", Err: err}
	}
	if resp.First == nil || resp.Next == nil || *resp.First < 0 || *resp.Next < *resp.First {
		return Batch{}, &DecodeError{Problem: "the read response has no valid offset range"}
	}
	if len(resp.Records) > limit {
		return Batch{}, &DecodeError{Problem: fmt.Sprintf("the read response has %d records, more than the %d requested", len(resp.Records), limit)}
	}
	b := Batch{First: *resp.First, Next: *resp.Next, Records: make([]Record, 0, len(resp.Records))}
	offset := max(from, b.First)
	for _, r := range resp.Records {
		if r.Offset == nil || *r.Offset != offset || offset >= b.Next {
			return Batch{}, &DecodeError{Problem: fmt.Sprintf("a record offset is not the expected %d, or not below %d", offset, b.Next)}
		}
		offset++
		b.Records = append(b.Records, Record{Offset: *r.Offset, Data: r.Data})
	}
	return b, nil
}
