package applog

import "encoding/json"

type appendResponse struct {
	Offset *int64 `json:"offset"`
}

type readResponse struct {
	Records []recordResponse `json:"records"`
	First   *int64           `json:"first"`
	Next    *int64           `json:"next"`
}

type recordResponse struct {
	Offset *int64 `json:"offset"`
	Data   []byte `json:"data"`
}

// decodeAppend returns the offset in the response to an append.
func decodeAppend(body []byte) (int64, error) {
	var resp appendResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return 0, &DecodeError{Reason: "append", Err: err}
	}
	if resp.Offset == nil || *resp.Offset < 0 {
		return 0, &DecodeError{Reason: "append without a valid offset"}
	}
	return *resp.Offset, nil
}

// decodeBatch returns the batch in the response to a read of at most limit records from offset from.
// Every record from max(from, first) on must follow the one before, since a gap would let hosts decide differently.
func decodeBatch(body []byte, from int64, limit int) (Batch, error) {
	var resp readResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return Batch{}, &DecodeError{Reason: "read", Err: err}
	}
	if resp.First == nil || resp.Next == nil || *resp.First < 0 || *resp.Next < *resp.First {
		return Batch{}, &DecodeError{Reason: "read without a valid range"}
	}
	if len(resp.Records) > limit {
		return Batch{}, &DecodeError{Reason: "more records than requested"}
	}
	b := Batch{First: *resp.First, Next: *resp.Next, Records: make([]Record, 0, len(resp.Records))}
	offset := max(from, b.First)
	for _, r := range resp.Records {
		if r.Offset == nil || *r.Offset != offset || offset >= b.Next {
			return Batch{}, &DecodeError{Reason: "record offset out of sequence or range"}
		}
		offset++
		b.Records = append(b.Records, Record{Offset: *r.Offset, Data: r.Data})
	}
	return b, nil
}
