package record

import "time"

type entry struct {
	data []byte
	at   time.Time
}

// stream is one sequence of records of which the oldest are dropped.
type stream struct {
	// first is the offset of entries[0], or that of the next append if there is none.
	first   int64
	entries []entry
	// appends counts all records that were ever appended.
	appends int64
	bytes   int64
}

func (s *stream) next() int64 { return s.first + int64(len(s.entries)) }

func (s *stream) append(data []byte, now time.Time) int64 {
	offset := s.next()
	s.entries = append(s.entries, entry{data: data, at: now})
	s.appends++
	s.bytes += int64(len(data))
	return offset
}

// trim drops what is past the retention.
func (s *stream) trim(r Retention, now time.Time) {
	drop := max(0, len(s.entries)-r.Records)
	for drop < len(s.entries) && now.Sub(s.entries[drop].at) > r.Age {
		drop++
	}
	for _, e := range s.entries[:drop] {
		s.bytes -= int64(len(e.data))
	}
	s.entries = s.entries[drop:]
	s.first += int64(drop)
}

// read returns at most limit records from an offset.
func (s *stream) read(from int64, limit int) []recordAnswer {
	from = max(from, s.first)
	answers := []recordAnswer{}
	for offset := from; offset < s.next() && len(answers) < limit; offset++ {
		answers = append(answers, recordAnswer{Offset: offset, Data: s.entries[offset-s.first].data})
	}
	return answers
}
