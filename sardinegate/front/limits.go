package front

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connCost and requestCost are the memory in bytes that a connection and a request in service are counted with: the
	// stacks of their goroutines, buffers, and what the handler keeps for them.
	connCost    = 20 << 10
	requestCost = 16 << 10
	// lineCost is the memory in bytes of a parsed header line beside its text: an entry in the map of the request and in the
	// copy of the handler, and its list of values. TestHeaderLinesCostNoMoreThanCounted measures it.
	lineCost = 256
	// textCost is the number of copies of the text of a head: its lines, the parsed names and values, and the head that is sent on.
	textCost = 3
	// bodyCost is the number of copies of a buffered body: a buffer that doubles, and the copy of the handler.
	bodyCost = 3
	// maxEmptyLineBytes bounds the empty lines before a request. Some clients send one of 2 bytes after a body.
	maxEmptyLineBytes = 16
	// closeLogInterval is the time between two log lines on connections that are closed for the same reason.
	closeLogInterval = time.Second
)

// Limits bound what all connections of a server use together. A limit of zero is not set.
type Limits struct {
	// Memory bounds the counted memory in bytes.
	Memory      int64
	Connections int
}

// CloseReason tells which limit closed a connection.
type CloseReason uint8

// Reasons for which a server closes or rejects a connection.
const (
	MemoryExceeded CloseReason = iota
	ConnectionsExceeded
	HeadTimedOut
	HeadTooLong
	EmptyLinesExceeded
	numCloseReasons
)

// CloseReasons lists all reasons.
func CloseReasons() []CloseReason {
	return []CloseReason{MemoryExceeded, ConnectionsExceeded, HeadTimedOut, HeadTooLong, EmptyLinesExceeded}
}

// String returns the name of the reason in logs and metrics.
func (r CloseReason) String() string {
	return [numCloseReasons]string{"memory", "connections", "headTime", "headLength", "emptyLines"}[r]
}

// memoryExceededError reports that a connection was closed because the connections of the server use too much memory.
type memoryExceededError struct{}

// Error implements error.
func (memoryExceededError) Error() string {
	return "connection closed: memory of all connections exceeded"
}

// closeCounts counts the connections closed by a limit, and logs them at a limited rate.
type closeCounts struct {
	total    [numCloseReasons]atomic.Int64
	loggedAt [numCloseReasons]atomic.Int64 // Unix nanoseconds
}

// Closed returns how many connections were closed for a reason.
func (s *Server) Closed(r CloseReason) int64 { return s.closeCounts.total[r].Load() }

// recordClose counts a connection closed by a limit. It logs the first of each closeLogInterval.
func (s *Server) recordClose(c *conn, r CloseReason) {
	n := s.closeCounts.total[r].Add(1)
	now, last := time.Now().UnixNano(), s.closeCounts.loggedAt[r].Load()
	if now-last >= int64(closeLogInterval) && s.closeCounts.loggedAt[r].CompareAndSwap(last, now) {
		s.Log.Warn("connection closed by a limit", "reason", r.String(), "caller", c.nc.RemoteAddr().String(), "closedSoFar", n)
	}
}

// budget counts the memory of the connections of a server. A connection takes memory before it uses it. If the limit does not
// allow that, the costliest connection is closed and its memory awaited. budget.mu is locked before conn.mu, never after it.
type budget struct {
	mu    sync.Mutex
	freed sync.Cond // signalled when memory was given back or a connection is ending
	limit int64
	used  int64
	// ending is the part of used that is held by connections that are being closed.
	ending int64
	conns  map[*conn]struct{}
}

// account is the memory that a connection holds. It is guarded by budget.mu.
type account struct {
	held   int64
	ending bool // closed for its memory
}

func newBudget(limit int64) *budget {
	b := &budget{limit: limit, conns: make(map[*conn]struct{})}
	b.freed.L = &b.mu
	return b
}

// Memory returns the counted memory of all connections in bytes.
func (s *Server) Memory() int64 {
	s.mu.Lock()
	b := s.budget
	s.mu.Unlock()
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// take counts n bytes for c. It closes the costliest connection if the limit does not allow them, and returns
// memoryExceededError if that is c.
func (b *budget) take(c *conn, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case c.account.ending:
			return memoryExceededError{}
		case b.limit <= 0 || b.used+n <= b.limit:
			b.used += n
			c.account.held += n
			b.conns[c] = struct{}{}
			return nil
		case b.used-b.ending+n > b.limit:
			b.end(b.costliest(c, n))
		default:
			b.freed.Wait()
		}
	}
}

// costliest returns the connection to close so that c can take n bytes: the costliest one that is idle or unfinished, or, if that is
// c itself, the costliest of all. Of equally costly ones it is the one that has been inactive longest.
func (b *budget) costliest(c *conn, n int64) *conn {
	most := func(eligible func(*conn) bool) *conn {
		victim, cost := c, c.account.held+n
		for other := range b.conns {
			if other == c || other.account.ending || other.account.held < cost || !eligible(other) {
				continue
			}
			if other.account.held > cost || other.inactiveSince().Before(victim.inactiveSince()) {
				victim, cost = other, other.account.held
			}
		}
		return victim
	}
	if victim := most((*conn).isUnfinished); victim != c {
		return victim
	}
	return most(func(*conn) bool { return true })
}

// end closes a connection because of its memory. Its goroutines give the memory back.
func (b *budget) end(c *conn) {
	c.account.ending = true
	b.ending += c.account.held
	c.abort()
	c.server.recordClose(c, MemoryExceeded)
	b.freed.Broadcast()
}

// release gives back n bytes of c.
func (b *budget) release(c *conn, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	c.account.held -= n
	if c.account.ending {
		b.ending -= n
	}
	b.freed.Broadcast()
}

// remove gives back all memory of a connection that has ended.
func (b *budget) remove(c *conn) {
	b.mu.Lock()
	n := c.account.held
	delete(b.conns, c)
	b.mu.Unlock()
	b.release(c, n)
}

// isUnfinished reports whether the connection is idle, receives a request, or has more to serve or to write than one request.
func (c *conn) isUnfinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receiving || c.incomplete != 1 || c.writing > 0
}

// inactiveSince returns when the last request was received or answered, or when the connection was accepted.
func (c *conn) inactiveSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// closeIfIdle closes a connection that has no request, and returns false if it has one. No request that arrives later is served.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incomplete > 0 || c.closing {
		return false
	}
	c.closing = true
	c.cancel()
	_ = c.nc.Close() // frees the descriptor at once
	return true
}

// makeRoom closes the connection that has been idle longest if there are as many as the limit allows. It returns false if none
// is idle. s.mu must be locked.
func (s *Server) makeRoom() bool {
	for s.Limits.Connections > 0 && len(s.conns) >= s.Limits.Connections {
		var oldest *conn
		var since time.Time
		for c := range s.conns {
			if at, idle := c.idleSince(); idle && (oldest == nil || at.Before(since)) {
				oldest, since = c, at
			}
		}
		if oldest == nil {
			return false
		}
		if oldest.closeIfIdle() {
			delete(s.conns, oldest)
			s.recordClose(oldest, ConnectionsExceeded)
		}
	}
	return true
}

// idleSince returns since when the connection has no complete request, and whether that is so.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active, c.incomplete == 0 && !c.closing
}

// headMeter counts the memory of a head while it is read, before the head is parsed.
type headMeter struct {
	c *conn
	r io.Reader
	// counting is set while a head is read, and taken is the memory counted for it.
	counting bool
	taken    int64
	// err is the error that ended the input within the head. bufio.Reader.ReadLine hides it behind an incomplete line, which
	// http.ReadRequest takes for a whole one.
	err error
}

// Read implements io.Reader.
func (m *headMeter) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if !m.counting {
		return n, err
	}
	if n > 0 {
		if takeErr := m.count(p[:n]); takeErr != nil {
			n, err = 0, takeErr
		}
	}
	m.err = err
	return n, err
}

func (m *headMeter) count(text []byte) error {
	lines := int64(0)
	for _, b := range text {
		if b == '\n' {
			lines++
		}
	}
	n := int64(len(text))*textCost + lines*lineCost
	if err := m.c.take(n); err != nil {
		return err
	}
	m.taken += n
	return nil
}

// begin starts to count a head whose first bytes are already buffered.
func (m *headMeter) begin(buffered []byte) error {
	m.counting, m.taken, m.err = true, 0, nil
	if err := m.c.take(requestCost); err != nil {
		return err
	}
	m.taken = requestCost
	return m.count(buffered)
}

// end stops the count and corrects it to what r holds, since bytes behind the head were counted as well. It returns the
// memory that is still counted.
func (m *headMeter) end(r *http.Request) int64 {
	m.counting = false
	cost := min(headCost(r), m.taken)
	m.c.release(m.taken - cost)
	return cost
}

// headCost returns the counted memory of a parsed request.
func headCost(r *http.Request) int64 {
	text, lines := len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		lines += len(values)
		text += len(name)
		for _, v := range values {
			text += len(v)
		}
	}
	return requestCost + int64(text)*textCost + int64(lines)*lineCost
}

// bodyMeter counts the memory of a body while it is buffered.
type bodyMeter struct {
	x *exchange
	r io.Reader
}

// Read implements io.Reader.
func (m *bodyMeter) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if takeErr := m.x.take(int64(n) * bodyCost); takeErr != nil {
		return 0, takeErr
	}
	return n, err
}

// take counts memory until the end of the exchange. Only the reading goroutine calls it, before the handler starts.
func (x *exchange) take(n int64) error {
	if err := x.c.take(n); err != nil {
		return err
	}
	x.cost += n
	return nil
}

func (c *conn) take(n int64) error { return c.server.budget.take(c, n) }

func (c *conn) release(n int64) { c.server.budget.release(c, n) }

// beginWrite counts a part of a response while it waits to be written, which a caller that does not read makes long.
func (c *conn) beginWrite(n int) error {
	c.addWriting(1)
	if err := c.take(int64(n)); err != nil {
		c.addWriting(-1)
		return err
	}
	return nil
}

func (c *conn) endWrite(n int) {
	c.release(int64(n))
	c.addWriting(-1)
}

func (c *conn) addWriting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing += n
}
