package record

import "time"

// entry is a record that a stream retains.
type entry struct {
	data       []byte
	appendedAt time.Time
}

// stream is a sequence of records with consecutive offsets. The oldest records are dropped.
type stream struct {
	// first is the offset of entries[0], or of the next append if entries is empty.
	first   int64
	entries []entry
	// appends counts all appended records, including the dropped ones.
	appends int64
	// bytes is the size of the data in entries.
	bytes int64
}

// next returns the offset of the next append.
func (s *stream) next() int64 { return s.first + int64(len(s.entries)) }

// append appends a record and returns its offset.
func (s *stream) append(data []byte, now time.Time) int64 {
	offset := s.next()
	s.entries = append(s.entries, entry{data: data, appendedAt: now})
	s.appends++
	s.bytes += int64(len(data))
	return offset
}

// trim drops the records that are past the retention.
func (s *stream) trim(r Retention, now time.Time) {
	drop := max(0, len(s.entries)-r.Records)
	for drop < len(s.entries) && now.Sub(s.entries[drop].appendedAt) > r.Age {
		drop++
	}
	for _, e := range s.entries[:drop] {
		s.bytes -= int64(len(e.data))
	}
	s.entries = s.entries[drop:]
	s.first += int64(drop)
}

// read returns at most limit records, from the offset from or else the oldest record.
func (s *stream) read(from int64, limit int) []record {
	from = max(from, s.first)
	records := []record{}
	for offset := from; offset < s.next() && len(records) < limit; offset++ {
		records = append(records, record{Offset: offset, Data: s.entries[offset-s.first].data})
	}
	return records
}
