package shed

const (
	// minLarge is the size in bytes from which responses count; smaller ones take no memory to speak of.
	minLarge = 64 << 10
	// maxSizes is the maximum number of routes with an expected size; when it is exceeded, all start anew.
	maxSizes = 1024
	// sizeDecay is the share by which a smaller response moves the size that is expected on its route.
	sizeDecay = 0.05
)

// Unread decides which client requests are refused because responses that clients have not read yet take the memory for them. The load
// that it answers is that of clients which read large responses slowly. It is not safe for concurrent use.
type Unread struct {
	limit int
	held  int
	// expected is the size for each route that few of its responses exceed.
	expected map[string]int
}

// NewUnread returns an Unread for responses of limit bytes in all.
func NewUnread(limit int) *Unread {
	return &Unread{limit: limit, expected: map[string]int{}}
}

// Begin reserves memory for the response to a request on the route, and reports whether there is enough. The bytes are returned by End.
func (u *Unread) Begin(route string) (bytes int, admitted bool) {
	expected := u.expected[route]
	if expected < minLarge {
		return 0, true
	}
	if u.held > 0 && u.held+expected > u.limit {
		return 0, false
	}
	u.held += expected

	return expected, true
}

// Respond replaces the reserved bytes by those of the response, which is held until End.
func (u *Unread) Respond(route string, reserved, size int) (bytes int) {
	recent, found := u.expected[route]
	if !found && len(u.expected) >= maxSizes {
		clear(u.expected)
	}
	u.expected[route] = max(size, recent-int(sizeDecay*float64(recent-size)))
	if size < minLarge {
		size = 0
	}
	u.held += size - reserved

	return size
}

// End returns the bytes of a request whose response has been sent or will never be.
func (u *Unread) End(bytes int) {
	u.held -= bytes
}

// Held returns the number of bytes that are reserved or held.
func (u *Unread) Held() int {
	return u.held
}
